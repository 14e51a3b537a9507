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

// yield stops the requests that have kept a slot for too long and sends each again. One that may
// not be repeated runs on.
func (m *Model) yield(now time.Time) (cmds []ident.Cmd) {
	for _, id := range m.slots.Overdue(now) {
		if r, known := m.requests[id]; known && r.Repeatable {
			r.touched = true
			cmds = append(cmds, m.resendElsewhere(now, r)...)
		}
	}
	return cmds
}

// doubt counts the upstream of a failed attempt as cold until its reports tell, where it may have gone.
func (m *Model) doubt(now time.Time, r *request, cause Cause) {
	if cause != CauseRefused && cause != CauseInvalid {
		m.slots.Doubt(now, r.on)
	}
}

// distrustReports counts every upstream that a rule bounds while cold as cold until its next report.
func (m *Model) distrustReports() {
	m.slots.Unsure()
	for _, u := range m.upstreams {
		u.special = true
	}
}
