package sched

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

func (m *Model) setUpstreams(now time.Time, msg UpstreamsMsg) {
	listed := map[ident.UpstreamID]bool{}
	for _, l := range msg.Upstreams {
		listed[l.ID] = true
		u, known := m.upstreams[l.ID]
		if !known || u.listed.Address != l.Address {
			u = &upstream{special: true, candidate: route.Candidate{ID: l.ID, Hash: route.HashID(l.ID)}}
			m.upstreams[l.ID] = u
		}
		u.listed = l
		u.candidate.Zone = l.Zone
	}
	for _, id := range m.order {
		if !listed[id] {
			m.slots.Forget(now, id)
			delete(m.upstreams, id)
		}
	}
	m.order = slices.Sorted(maps.Keys(m.upstreams))
	m.pools = nil
	m.listed = true
}

func (m *Model) setLoad(now time.Time, msg LoadMsg) []ident.Cmd {
	u, known := m.upstreams[msg.Upstream]
	if !known {
		return nil
	}
	if u.misses >= outageMisses {
		u.backSince, u.special = now, true
	}
	if !u.seen || !slices.Equal(u.load.Loaded, msg.Load.Loaded) {
		m.pools = nil
	}
	u.special = u.special || u.load.BootID != msg.Load.BootID
	m.slots.Seen(now, msg.Upstream, msg.Load.BootID)
	u.load, u.seen, u.misses = msg.Load, true, 0
	u.report(msg.Load)
	return m.poison.Seen(now, msg.Upstream, msg.Load.BootID)
}

func (m *Model) miss(now time.Time, msg UnreachableMsg) []ident.Cmd {
	u, known := m.upstreams[msg.Upstream]
	if !known || m.lateness.within(now, now.Add(-msg.Waited)) {
		return nil
	}
	u.misses++
	u.special = true
	if u.misses < probeMisses {
		return nil
	}
	m.slots.Doubt(now, msg.Upstream)
	return m.poison.Unreachable(now, msg.Upstream)
}
