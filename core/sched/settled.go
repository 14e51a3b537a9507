package sched

import "time"

// downMisses is the number of consecutive missed probes after which the upstreams of a role count as down,
// rather than this entry as lagging.
const downMisses = 5

// Settled reports whether the entry has received the upstream list, each upstream on it other than stores
// has answered or missed a probe, and in each role one has reported or all have missed downMisses probes.
// Without any report an entry could only refuse requests.
func (m *Model) Settled() bool {
	reported, pending := map[Role]bool{}, map[Role]bool{}
	for _, id := range m.order {
		u := m.upstreams[id]
		if u.listed.Role == RoleStore {
			continue
		}
		if !u.reported && u.misses == 0 {
			return false
		}
		reported[u.listed.Role] = reported[u.listed.Role] || u.reported
		pending[u.listed.Role] = pending[u.listed.Role] || !u.reported && u.misses < downMisses
	}
	for role := range reported {
		if !reported[role] && pending[role] {
			return false
		}
	}
	return m.listReceived
}

// NextTick reports whether the scheduler has periodic work: an open request, or log records and losses that are
// pending. at is then the zero time, meaning at once.
func (m *Model) NextTick() (at time.Time, set bool) {
	return at, len(m.requests) > 0 || len(m.parked)+len(m.waiting) > 0 || m.poison.Pending()
}
