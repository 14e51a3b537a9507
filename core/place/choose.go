package place

import (
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/route"
)

const (
	// coldBurst is how many requests an entry may send to a cold upstream at once.
	coldBurst = 1
	// coldShare is the part of the stated rate of a cold upstream that is used.
	coldShare = 0.8
	// leastColdRate is the rate below which an entry's share of a cold upstream is no use, in
	// requests a second; fewer entries then use that upstream.
	leastColdRate = 1.0
	// zoneCost is what another availability zone adds to a choice: some round trips.
	zoneCost = 4 * time.Millisecond
	// againFactor is how much a token that some upstream has read already weighs above a new one.
	againFactor = 1.0
	// fetchWeight is how much a fetched token weighs against one that is read: the copy takes memory from other parts.
	fetchWeight = 0.05
	// oldCost is the part of the objective that older weights add to a choice.
	oldCost = 0.3
	// badCost is how many objectives an upstream adds to a choice that fails every request.
	badCost = 4
	// versionMargin is kept from the time allowed on older weights, since requests wait at an engine before they begin.
	versionMargin = 1500 * time.Millisecond
)

// option is one upstream weighed for a request.
type option struct {
	upstream conf.Upstream
	// first is the expected time to the first byte.
	first time.Duration
	// cost orders the options, in ns.
	cost    float64
	version int64
	salt    string
	// ahead is the work before the request, missing the request's own, in prompt tokens.
	ahead, missing int
	// kept is what the upstream has of the prompt, again what some holder has that is read all the same.
	kept, again int
	fetch       []conf.Source
	source      parts.Holder
	fetchTime   time.Duration
	// fetched is how many tokens come from elsewhere, over these transfers.
	fetched   int
	transfers []Transfer
	// idle tells that less than half of the upstream's slots are taken.
	idle bool
}

// Tally counts what was found of a service's upstreams.
type Tally struct {
	// Closed upstreams get no work, Full ones have no room for the request, Open ones would take it.
	Closed, Full, Open int
}

// choose weighs the upstreams and returns the best, nil if none may take the request.
func (m *Model) choose(now time.Time, need *Need, avoid []ident.UpstreamID) (best *option, tally Tally) {
	service, ok := m.set.Service(need.Service)
	if !ok {
		return nil, tally
	}
	find := &finder{m: m, now: now, need: need, service: service}
	step := m.step(now, need)
	m.fleet.Each(need.Service, func(u *conf.Upstream) {
		if slices.Contains(avoid, u.ID) || !m.open(now, u, service, need) {
			tally.Closed++
			return
		}
		var o *option
		if service.Engine != nil && len(need.Chain) > 0 {
			o = m.weighEngine(now, need, step, find, u)
		} else {
			o = m.weighCall(now, need, u)
		}
		if o == nil {
			tally.Full++
			return
		}
		tally.Open++
		if best == nil || o.cost < best.cost || o.cost == best.cost && o.upstream.ID < best.upstream.ID {
			best = o
		}
	})
	return best, tally
}

// open tells whether an upstream may get the request at all.
func (m *Model) open(now time.Time, u *conf.Upstream, service *conf.Service, need *Need) bool {
	if !m.fleet.Usable(now, u.ID) || m.fleet.Ordered(now, u.ID) {
		return false
	}
	if rate, cold := m.coldRate(now, u); cold && (rate == 0 || rate > 0 && m.load(u.ID).cold.peek(now, rate, coldBurst) < 1) {
		return false
	}
	if service.Engine == nil || need.Model == "" {
		return true
	}
	if since := m.newerSince(need.Model, u.Weights[need.Model]); !since.IsZero() && now.Sub(since) > m.versionTime-versionMargin {
		return false
	}
	return true
}

// coldRate is this entry's share of the requests a second that a cold upstream bears; the rate is
// negative if the upstream has no bound.
func (m *Model) coldRate(now time.Time, u *conf.Upstream) (rate float64, cold bool) {
	if !m.fleet.Cold(now, u.ID) {
		return -1, false
	}
	service, ok := m.set.Service(u.Service)
	if !ok || service.ColdRate <= 0 {
		return -1, false
	}
	users := max(1, min(len(m.crew.IDs), int(coldShare*service.ColdRate/leastColdRate)))
	if len(m.crew.IDs) > users && route.Rank(string(u.ID), m.crew.Self, m.crew.IDs) >= users {
		return 0, true
	}
	return coldShare * service.ColdRate / float64(users), true
}

// weighCall weighs an upstream for a plain call.
func (m *Model) weighCall(now time.Time, need *Need, u *conf.Upstream) *option {
	s, p, l := m.speed(need.Service), m.pace(u.ID), m.load(u.ID)
	p.fade(now)
	total := l.total(now)
	slots := max(u.Slots, 1)
	rounds := 1 + max(0, float64(total.Requests+1-slots))/float64(slots)
	first := s.call * rounds * p.slow
	return &option{
		upstream: *u, first: time.Duration(first),
		cost: first*(1+0.3*float64(total.Requests)/float64(slots)) + m.besides(need, u, p),
		idle: total.Requests < slots/2,
	}
}

// besides is what a choice costs apart from its time.
func (m *Model) besides(need *Need, u *conf.Upstream, p *pace) (cost float64) {
	bad := max(0, p.bad-m.speed(need.Service).bad)
	cost = badCost * float64(need.Objective) * bad
	if u.Zone != m.crew.Zone {
		cost += float64(zoneCost)
	}
	return cost
}

// weighEngine weighs a model engine, nil if it should not take the request now.
func (m *Model) weighEngine(now time.Time, need *Need, step int, find *finder, u *conf.Upstream) *option {
	s, p, l := m.speed(need.Service), m.pace(u.ID), m.load(u.ID)
	p.fade(now)
	total := l.total(now)
	version := u.Weights[need.Model]
	o := &option{upstream: *u, version: version, salt: find.salt(version), idle: total.Requests < u.Slots/2}
	shared := need.Shared()
	o.kept = m.index.Kept(now, parts.Holder(u.Address), o.salt, shared)
	find.fill(o)
	o.missing = need.Tokens() - o.kept - o.fetched
	o.ahead = l.ahead(now, need.Rank)
	if !m.admits(need, step, find.service, total, o) {
		return nil
	}
	first := s.first(o.ahead+o.missing)*p.slow + float64(o.fetchTime)
	o.first = time.Duration(first)
	o.cost = first*(1+float64(total.Requests)/float64(max(u.Slots, 1))) + m.besides(need, u, p)
	o.cost += s.perToken * (againFactor*float64(o.again) + fetchWeight*float64(o.fetched))
	if !m.newerSince(need.Model, version).IsZero() {
		o.cost += oldCost * float64(need.Objective)
	}
	return o
}
