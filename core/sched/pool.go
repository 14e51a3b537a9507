package sched

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// poolKey is what a request needs of its upstream: a model version or a service.
type poolKey struct {
	loaded  Loaded
	service ident.ServiceName
}

func (r *request) poolKey() poolKey {
	if r.Service != "" {
		return poolKey{service: r.Service}
	}
	return poolKey{loaded: Loaded{r.Model, r.version}}
}

// pool lists the open upstreams that serve a request, by id.
func (m *Model) pool(r *request) []*upstream {
	if m.pools == nil {
		m.fillPools()
	}
	return m.pools[r.poolKey()]
}

// fillPools sorts the open upstreams by what they serve.
func (m *Model) fillPools() {
	m.pools = map[poolKey][]*upstream{}
	for _, id := range m.order {
		u := m.upstreams[id]
		u.bears, u.bearsKnown = m.bears(id)
		if !u.seen || u.closed() {
			continue
		}
		for _, k := range u.poolKeys() {
			m.pools[k] = append(m.pools[k], u)
		}
	}
}

func (u *upstream) poolKeys() (keys []poolKey) {
	switch u.listed.Role {
	case RoleEngine:
		for _, l := range u.load.Loaded {
			keys = append(keys, poolKey{loaded: l})
		}
	case RoleApp:
		for _, s := range u.listed.Services {
			keys = append(keys, poolKey{service: s})
		}
	}
	return keys
}

// serves reports whether an upstream holds a model version or runs a service.
func (u *upstream) serves(k poolKey) bool { return slices.Contains(u.poolKeys(), k) }

// collect fills candidates with the upstreams that may take the request.
func (m *Model) collect(now time.Time, r *request, avoid []ident.UpstreamID, least trust) {
	m.candidates = m.candidates[:0]
	trials := m.poison.Trials() > 0
	free := m.roomFor(now, r)
	for _, u := range m.pool(r) {
		if (u.special || trials) && !m.admits(now, u, r, least) {
			continue
		}
		if !free.on(u) {
			continue
		}
		if len(avoid) > 0 && slices.Contains(avoid, u.listed.ID) {
			continue
		}
		m.candidates = append(m.candidates, &u.candidate)
	}
}

// admits looks at what is special about an upstream, and notes when nothing is any more.
func (m *Model) admits(now time.Time, u *upstream, r *request, least trust) bool {
	bears := m.bearsOneMore(now, u)
	u.special = u.reservedFor != "" || u.misses > 0 || now.Before(u.suspectUntil) || u.ramp(now) < 1 ||
		(u.bearsKnown && !m.slots.Warm(u.listed.ID))
	return bears && !m.keptFree(u, r) && u.trust(now, r) >= least
}

// eligible reports whether an upstream may take a request.
func (m *Model) eligible(now time.Time, u *upstream, r *request, least trust) bool {
	return slices.Contains(m.pool(r), u) && m.admits(now, u, r, least)
}

// choose picks one of the candidates, of which there is at least one.
func (m *Model) choose(now time.Time, r *request) ident.UpstreamID {
	need := route.Need{
		Org: r.Org, Class: r.Class, Zone: m.zone, Version: r.version, Key: r.key,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Holders: m.keptAt(r.key),
	}
	return m.candidates[m.policy.Pick(now, need, m.candidates)].ID
}

// keptAt lists where a prompt was computed and may still be held.
func (m *Model) keptAt(key uint64) (held [route.MaxHolders]route.Holder) {
	for i, p := range m.kept.byKey[key] {
		if u, known := m.upstreams[p.upstream]; known && u.load.BootID == p.boot {
			held[i] = route.Holder{Hash: u.candidate.Hash, Tokens: p.tokens}
		}
	}
	return held
}
