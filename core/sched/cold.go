package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
)

// Slots returns the slots that this entry may use on cold upstreams.
func (m *Model) Slots() *limit.Slots { return m.slots }

// coldLimit returns how many requests an upstream may run while cold; known is false if no rule limits it.
func (m *Model) coldLimit(id ident.UpstreamID) (n int, known bool) {
	if m.rules == nil {
		return 0, false
	}
	return m.rules.ColdLimit(id)
}

// hasColdSlot reports whether this entry has a free slot on an upstream; without a cold limit it always has.
func (m *Model) hasColdSlot(now time.Time, u *upstream) bool {
	return !u.hasColdLimit || m.slots.Free(now, u.listed.ID, u.coldLimit)
}

// acquireSlot takes the slot that hasColdSlot found free.
func (m *Model) acquireSlot(now time.Time, r *request) {
	if n, known := m.coldLimit(r.upstream); known {
		m.slots.Acquire(now, r.upstream, n, r.ID)
	}
}

// resendOverdue cancels the requests that have held a slot for too long and resends them elsewhere.
// Requests that are not repeatable run on.
func (m *Model) resendOverdue(now time.Time) (cmds []ident.Cmd) {
	for _, id := range m.slots.Overdue(now) {
		if r, known := m.requests[id]; known && r.Repeatable {
			r.mayHaveRun = true
			cmds = append(cmds, m.resendElsewhere(now, r)...)
		}
	}
	return cmds
}

// assumeCold treats the upstream of a failed attempt as cold until its reports show otherwise, unless the cause
// shows that the upstream is still running.
func (m *Model) assumeCold(now time.Time, r *request, cause Cause) {
	if cause != CauseRefused && cause != CauseInvalid {
		m.slots.SuspectReboot(now, r.upstream)
	}
}

// assumeAllCold treats every upstream with a cold limit as cold until its next load report.
func (m *Model) assumeAllCold() {
	m.slots.AwaitReports()
	for _, u := range m.upstreams {
		u.restricted = true
	}
}
