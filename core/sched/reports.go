package sched

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// setUpstreams replaces the upstream list. An upstream with a new address starts without state.
func (m *Model) setUpstreams(now time.Time, msg UpstreamsMsg) {
	listed := map[ident.UpstreamID]bool{}
	for _, l := range msg.Upstreams {
		listed[l.ID] = true
		u, known := m.upstreams[l.ID]
		if !known || u.listed.Address != l.Address {
			u = &upstream{restricted: true, candidate: route.Candidate{ID: l.ID, Hash: route.HashID(l.ID)}}
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
	m.listReceived = true
}

// setLoad applies a load report; one that ends an outage starts a ramp.
func (m *Model) setLoad(now time.Time, msg LoadMsg) []ident.Cmd {
	u, known := m.upstreams[msg.Upstream]
	if !known {
		return nil
	}
	if u.misses >= outageMisses {
		u.rampSince, u.restricted = now, true
	}
	if !u.reported || !slices.Equal(u.load.Loaded, msg.Load.Loaded) {
		m.pools = nil
	}
	u.restricted = u.restricted || u.load.BootID != msg.Load.BootID
	m.slots.ObserveBoot(now, msg.Upstream, msg.Load.BootID)
	u.load, u.reported, u.misses = msg.Load, true, 0
	u.updateOthers(msg.Load)
	return m.poison.ObserveBoot(now, msg.Upstream, msg.Load.BootID)
}
