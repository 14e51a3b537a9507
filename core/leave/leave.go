// Package leave decides which requests an entry still takes while it stops.
//
// A stopping entry ends with its grace period, whatever still runs then. A request that is likely to run longer is better
// refused at once, as long as that is known not to have run it: its caller goes to another entry.
package leave

import (
	"math"
	"time"

	"cicadavalve/core/ident"
)

const (
	// halfLife is how long the longest answer of a route takes to count half.
	halfLife = 10 * time.Second
	// unsafeMargin is how many times the longest answer of its route a request that must not run twice gets.
	unsafeMargin = 1.5
)

// StopMsg reports that the entry stops, and ends what still runs at a time.
type StopMsg struct{ EndsAt time.Time }

// AnsweredMsg reports how long a complete answer on a route took.
type AnsweredMsg struct {
	Route string
	Took  time.Duration
}

// Request is a request that has arrived.
type Request struct {
	Route    string
	Deadline time.Time
	// Repeatable is set if it may run more than once.
	Repeatable bool
}

// Model estimates how long the answers of one entry take. Its methods aren't safe for concurrent use.
type Model struct {
	// endsAt is when the entry ends what still runs, zero while it does not stop.
	endsAt time.Time
	routes map[string]longest
}

// longest is the longest answer of a route at a time; it counts less the older it is.
type longest struct {
	took time.Duration
	at   time.Time
}

// NewModel returns the model of an entry that does not stop.
//
//	m := leave.NewModel()
//	m.Update(now, leave.StopMsg{EndsAt: now.Add(grace)})
//	if !m.Takes(now, request) { refuse(request) }
func NewModel() *Model { return &Model{routes: map[string]longest{}} }

// Update applies a message; it returns no commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case StopMsg:
		m.endsAt = msg.EndsAt
	case AnsweredMsg:
		if msg.Took >= m.routes[msg.Route].now(now) {
			m.routes[msg.Route] = longest{msg.Took, now}
		}
	}
	return nil
}

// Takes reports whether a request may begin. While the entry stops, its answer must be expected before the end; without
// any earlier answer of its route only its deadline bounds when that is.
func (m *Model) Takes(now time.Time, r Request) (ok bool) {
	if m.endsAt.IsZero() || !r.Deadline.After(m.endsAt) {
		return true
	}
	known, ok := m.routes[r.Route]
	if !ok {
		return false
	}
	expected := known.now(now)
	if !r.Repeatable {
		expected = time.Duration(unsafeMargin * float64(expected))
	}
	return !now.Add(expected).After(m.endsAt)
}

// now returns what the longest answer counts at a time.
func (l longest) now(now time.Time) time.Duration {
	return time.Duration(float64(l.took) * math.Exp2(-float64(now.Sub(l.at))/float64(halfLife)))
}
