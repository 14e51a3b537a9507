package sched

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
