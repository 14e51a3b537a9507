// Package stall notices that a process stood still, as when its VM is frozen or starved, by ticks that come late.
//
// What a process reads right after it stood still may have arrived at any time since it last ran.
package stall

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// DefaultThreshold is how late a tick must be for the process to count as having stood still: several intervals of the
// tick, and well above what a busy VM delays it.
const DefaultThreshold = 250 * time.Millisecond

// settleTime is how long a process may run after it stood still until it has read what arrived meanwhile.
const settleTime = 500 * time.Millisecond

// TickMsg reports that the process runs. Ticks are due at an interval well below the threshold.
type TickMsg struct{}

// StalledCmd reports that the process stood still.
type StalledCmd struct {
	// From is the last tick before.
	From time.Time
	For  time.Duration
}

// Model holds when the process last ran. Its methods aren't safe for concurrent use.
type Model struct {
	threshold time.Duration
	// lastTick is zero before the first tick.
	lastTick time.Time
	// stalls holds the times that the process stood still and after which it may still read what arrived meanwhile, the
	// oldest first.
	stalls []stalled
}

// stalled is a time that the process stood still.
type stalled struct {
	from time.Time
	// ran is how long the process has run since, at the last tick. Further stalls don't count.
	ran time.Duration
}

// NewModel returns a model without a tick.
//
//	m := stall.NewModel(stall.DefaultThreshold)
//	for _, cmd := range m.Update(now, stall.TickMsg{}) { log(cmd) }
func NewModel(threshold time.Duration) *Model { return &Model{threshold: threshold} }

// Update applies a message and returns a [StalledCmd] if the process stood still before it.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	if _, ok := msg.(TickMsg); !ok {
		return nil
	}
	if m.isLate(now) {
		cmds = append(cmds, StalledCmd{From: m.lastTick, For: now.Sub(m.lastTick)})
		m.stalls = append(m.stalls, stalled{from: m.lastTick})
	} else if !m.lastTick.IsZero() {
		for i := range m.stalls {
			m.stalls[i].ran += now.Sub(m.lastTick)
		}
		m.stalls = slices.DeleteFunc(m.stalls, func(s stalled) bool { return s.ran >= settleTime })
	}
	m.lastTick = now
	return cmds
}

func (m *Model) isLate(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.threshold
}

// ArrivedSince returns the earliest time at which something that is read at now can have arrived, which is now unless
// the process has just stood still.
func (m *Model) ArrivedSince(now time.Time) time.Time {
	late, ran := m.isLate(now), time.Duration(0)
	if !late {
		ran = now.Sub(m.lastTick)
	}
	for _, s := range m.stalls {
		if s.ran+ran < settleTime {
			return s.from
		}
	}
	if late {
		return m.lastTick
	}
	return now
}
