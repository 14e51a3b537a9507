package sched

import "time"

// Settled reports whether a list has come and every upstream on it has answered a probe or missed one.
func (m *Model) Settled() bool {
	for _, id := range m.order {
		u := m.upstreams[id]
		if !u.seen && u.misses == 0 && u.listed.Role != RoleStore {
			return false
		}
	}
	return m.listed
}

// NextTick is when the scheduler next has something to do without another message, and whether it
// has: at once as long as it has a request or a record is on its way into the log.
func (m *Model) NextTick() (at time.Time, set bool) {
	return at, len(m.requests) > 0 || len(m.parked)+len(m.waiting) > 0 || m.poison.Pending()
}
