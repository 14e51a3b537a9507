package sched

import (
	"math"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

const (
	// movesPerTick bounds the running requests that are moved at one tick.
	movesPerTick = 4
	// rampTime is how long an upstream that comes back takes to get its full share of new work.
	rampTime = 10 * time.Second
	// leastRamp is the share of new work that it gets at first.
	leastRamp = 0.05
)

// graces is how long running work may stay on an upstream that gets no new work.
var graces = map[ident.Class]time.Duration{
	ident.Interactive: 10 * time.Second,
	ident.Standard:    5 * time.Second,
	ident.Deferred:    0,
}

// closed reports whether an upstream gets no new work by rule or because it leaves.
func (u *upstream) closed() bool { return !u.closedSince.IsZero() }

// noteClosed keeps when each upstream closed, and begins the ramp of one that opens again.
func (m *Model) noteClosed(now time.Time) {
	if m.rules == nil {
		return
	}
	m.pools = nil
	for _, id := range m.order {
		u := m.upstreams[id]
		closed := u.listed.Leaving || m.rules.Drained(u.listed.ID, u.listed.Zone)
		switch {
		case closed && !u.closed():
			u.closedSince = now
		case !closed && u.closed():
			u.closedSince = time.Time{}
			u.backSince, u.special = now, true
		}
	}
}

// ramp is the share of new work that an upstream gets, in (0,1].
func (u *upstream) ramp(now time.Time) float64 {
	if u.backSince.IsZero() {
		return 1
	}
	done := float64(now.Sub(u.backSince)) / float64(rampTime)
	return min(1, max(leastRamp, done))
}

// held reports whether the ramp keeps a request from an upstream. The same prompts come
// back first on every entry.
func (u *upstream) held(now time.Time, r *request) bool {
	share := u.ramp(now)
	if share >= 1 {
		return false
	}
	return float64(route.Weight(r.key, u.candidate.Hash)) >= share*math.MaxUint64
}

// move takes running requests off the closed upstreams once their grace is over, a few at each
// tick. A request without another upstream stays where it is.
func (m *Model) move(now time.Time) (cmds []ident.Cmd) {
	for _, r := range m.overdue(now) {
		cmds = append(cmds, m.moveOne(now, r)...)
	}
	return cmds
}

// overdue lists the requests to move in the order of their ids.
func (m *Model) overdue(now time.Time) (moving []*request) {
	if !m.anyClosedBusy() {
		return nil
	}
	for _, r := range m.requests {
		u, known := m.upstreams[r.on]
		if known && r.Repeatable && u.closed() && now.Sub(u.closedSince) >= graces[r.Class] {
			moving = append(moving, r)
		}
	}
	slices.SortFunc(moving, byID)
	return moving[:min(len(moving), movesPerTick)]
}

func byID(a, b *request) int {
	if a.ID < b.ID {
		return -1
	}
	return 1
}

func (m *Model) anyClosedBusy() bool {
	for _, id := range m.order {
		if u := m.upstreams[id]; u.candidate.Outstanding > 0 && u.closed() {
			return true
		}
	}
	return false
}

func (m *Model) moveOne(now time.Time, r *request) []ident.Cmd {
	if r.alone || !m.find(now, r) {
		return nil
	}
	return m.resendElsewhere(now, r)
}

// resendElsewhere stops a request's attempt and sends it again, which costs it no retry.
func (m *Model) resendElsewhere(now time.Time, r *request) []ident.Cmd {
	cancel := CancelCmd{Request: r.ID, Attempt: r.attempt, Upstream: r.on}
	m.release(now, r, false)
	r.moves++
	r.touched = true
	return append([]ident.Cmd{cancel}, m.send(now, r)...)
}
