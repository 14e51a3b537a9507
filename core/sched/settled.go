package sched

import "time"

// settleMisses is how many probes in a row the upstreams of a role may miss before the entry takes
// them to be down rather than itself to be late.
const settleMisses = 5

// Settled reports whether a list has come, every upstream on it has answered a probe or missed one,
// and of each role one has answered or all have missed many. An entry that has heard of none could
// only refuse.
func (m *Model) Settled() bool {
	heard, missed := map[Role]bool{}, map[Role]bool{}
	for _, id := range m.order {
		u := m.upstreams[id]
		if u.listed.Role == RoleStore {
			continue
		}
		if !u.seen && u.misses == 0 {
			return false
		}
		heard[u.listed.Role] = heard[u.listed.Role] || u.seen
		missed[u.listed.Role] = missed[u.listed.Role] || !u.seen && u.misses < settleMisses
	}
	for role := range heard {
		if !heard[role] && missed[role] {
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
