package sched

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// poolKey identifies a pool: the upstreams that serve one model version or service.
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

// pool lists the open upstreams that serve a request, sorted by id.
func (m *Model) pool(r *request) []*upstream {
	if m.pools == nil {
		m.buildPools()
	}
	return m.pools[r.poolKey()]
}

// buildPools groups the open upstreams by what they serve and refreshes their cold limits.
func (m *Model) buildPools() {
	m.pools = map[poolKey][]*upstream{}
	for _, id := range m.order {
		u := m.upstreams[id]
		u.coldLimit, u.hasColdLimit = m.coldLimit(id)
		if !u.reported || u.closed() {
			continue
		}
		for _, k := range u.poolKeys() {
			m.pools[k] = append(m.pools[k], u)
		}
	}
}

// poolKeys lists the pools that an upstream belongs to.
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

// serves reports whether an upstream belongs to a pool.
func (u *upstream) serves(k poolKey) bool { return slices.Contains(u.poolKeys(), k) }

// collectCandidates sets m.candidates to the upstreams that may take the request, with at least the trust minTrust
// and without those to avoid.
func (m *Model) collectCandidates(now time.Time, r *request, avoid []ident.UpstreamID, minTrust trust) {
	m.candidates = m.candidates[:0]
	trials := m.poison.Trials() > 0
	space := m.capacityFor(now, r)
	for _, u := range m.pool(r) {
		if (u.restricted || trials) && !m.admits(now, u, r, minTrust) {
			continue
		}
		if !space.fits(u) {
			continue
		}
		if len(avoid) > 0 && slices.Contains(avoid, u.listed.ID) {
			continue
		}
		m.candidates = append(m.candidates, &u.candidate)
	}
}

// admits reports whether an upstream's restrictions allow a request, and clears restricted once none is left.
func (m *Model) admits(now time.Time, u *upstream, r *request, minTrust trust) bool {
	slotFree := m.hasColdSlot(now, u)
	u.restricted = u.reservedFor != "" || u.misses > 0 || now.Before(u.suspectUntil) || u.rampShare(now) < 1 ||
		(u.hasColdLimit && !m.slots.Warm(u.listed.ID))
	return slotFree && !m.reservedForOther(u, r) && u.trust(now, r) >= minTrust
}

// eligible reports whether an upstream is in the request's pool and admits it; it ignores capacity.
func (m *Model) eligible(now time.Time, u *upstream, r *request, minTrust trust) bool {
	return slices.Contains(m.pool(r), u) && m.admits(now, u, r, minTrust)
}

// pickCandidate returns the policy's choice; m.candidates must not be empty.
func (m *Model) pickCandidate(now time.Time, r *request) ident.UpstreamID {
	need := route.Need{
		Org: r.Org, Class: r.Class, Zone: m.zone, Version: r.version, Key: r.key,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Holders: m.holdersOf(r.key),
	}
	return m.candidates[m.policy.Pick(now, need, m.candidates)].ID
}

// holdersOf returns the upstreams that may still have a prompt cached; unused elements are zero.
func (m *Model) holdersOf(key uint64) (holders [route.MaxHolders]route.Holder) {
	for i, p := range m.prompts.byKey[key] {
		if u, known := m.upstreams[p.upstream]; known && u.load.BootID == p.boot {
			holders[i] = route.Holder{Hash: u.candidate.Hash, Tokens: p.tokens}
		}
	}
	return holders
}
