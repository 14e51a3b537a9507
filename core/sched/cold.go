package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
)

// Slots are the entry's shares of cold upstreams.
func (m *Model) Slots() *limit.Slots { return m.slots }

// bears is how many requests an upstream bears while cold, and whether a rule says so.
func (m *Model) bears(id ident.UpstreamID) (n int, known bool) {
	if m.rules == nil {
		return 0, false
	}
	return m.rules.ColdLimit(id)
}

// bearsOneMore reports whether an upstream that may be cold has a slot of this entry free.
func (m *Model) bearsOneMore(now time.Time, u *upstream) bool {
	return !u.bearsKnown || m.slots.Free(now, u.listed.ID, u.bears)
}

// acquire takes the slot that bearsOneMore has found free.
func (m *Model) acquire(now time.Time, r *request) {
	if n, known := m.bears(r.on); known {
		m.slots.Acquire(now, r.on, n, r.ID)
	}
}

// yield stops the requests that have kept a slot for too long, and sends them elsewhere. One that
// may not be repeated runs on.
func (m *Model) yield(now time.Time) (cmds []ident.Cmd) {
	for _, id := range m.slots.Overdue(now) {
		r, known := m.requests[id]
		if !known || !r.Repeatable {
			continue
		}
		cmds = append(cmds, CancelCmd{Request: r.ID, Attempt: r.attempt, Upstream: r.on})
		m.slots.Release(now, r.ID, false)
		m.release(r)
		r.touched = true
		r.moves++
		cmds = append(cmds, m.endTrial(r)...)
		cmds = append(cmds, m.send(now, r)...)
	}
	return cmds
}

// failed gives back the slot of an attempt that failed. Where the upstream may have gone, it counts
// as cold until its reports tell.
func (m *Model) failed(now time.Time, r *request, cause Cause) {
	m.slots.Release(now, r.ID, cause == CauseConnect || cause == CauseRefused)
	if cause != CauseRefused && cause != CauseInvalid {
		m.slots.Doubt(now, r.on)
	}
}
