package place

import (
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
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
	upstream *conf.Upstream
	// cold tells that the upstream bears only a small rate of requests.
	cold bool
	// first is the expected time to the first byte.
	first time.Duration
	// cost orders the options, in ns.
	cost    float64
	version int64
	salt    string
	// keys holds the key of each shared part.
	keys []parts.Key
	// ahead is the work before the request, missing the request's own, in prompt tokens.
	ahead, missing int
	// kept is what the upstream has of the prompt, again what some holder has that is read all the same.
	kept, again int
	// fetched is how many tokens come from elsewhere, source the holder on which that waits longest.
	fetched   int
	source    parts.Holder
	fetchTime time.Duration
	// fetch and transfers say how, for the option that is taken.
	fetch     []conf.Source
	transfers []Transfer
	// idle tells that less than half of the upstream's slots are taken.
	idle bool
}

// Tally counts what was found of a service's upstreams.
type Tally struct {
	// Closed upstreams get no work, Full ones have no room for the request, Open ones would take it.
	Closed, Full, Open int
	// By counts the full ones by their bound.
	By [bounds]int
}

// choose weighs the upstreams, or only one of them, and returns the best, nil if none may take the request. In a
// large fleet it weighs a sample.
func (m *Model) choose(now time.Time, need *Need, avoid []ident.UpstreamID, only ident.UpstreamID) (best *option, tally Tally) {
	service, ok := m.set.Service(need.Service)
	if !ok {
		return nil, tally
	}
	m.expire(now)
	find := newFinder(m, now, need, service)
	step := m.step(now, need)
	some, position := sample{all: true}, -1
	if only == "" {
		some = m.sample(find)
	}
	var taken, weighed option
	ties := 0
	m.fleet.Each(now, need.Service, func(u *conf.Upstream, standing fleet.Standing) {
		if position++; only != "" && u.ID != only || !some.has(position, u) {
			return
		}
		if slices.Contains(avoid, u.ID) || !m.open(now, u, standing, service, need) {
			tally.Closed++
			return
		}
		weighed = option{upstream: u, cold: standing.Cold}
		if service.Engine == nil || len(need.Chain) == 0 {
			m.weighCall(now, need, &weighed)
		} else if bound := m.weighEngine(now, need, step, find, &weighed); bound != Free {
			tally.Full++
			tally.By[bound]++
			return
		}
		tally.Open++
		if best == nil || weighed.cost < best.cost {
			ties = 0
		}
		// Equal ones are taken at random, else the fleet's first would get what all entries send at their start.
		if best == nil || weighed.cost <= best.cost {
			if ties++; m.rng.IntN(ties) == 0 {
				taken, best = weighed, &taken
			}
		}
	})
	if best != nil && len(find.shared) > 0 {
		find.detail(best)
	}
	return best, tally
}

// open tells whether an upstream may get the request at all.
func (m *Model) open(now time.Time, u *conf.Upstream, standing fleet.Standing, service *conf.Service, need *Need) bool {
	if !standing.Usable || standing.Ordered {
		return false
	}
	if rate, cold := m.coldRate(u, standing.Cold); cold && (rate == 0 || rate > 0 && m.load(u.ID).cold.peek(now, rate, coldBurst) < 1) {
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

// coldRate is this entry's share of the requests a second that an upstream bears which may be cold; bounded
// tells that it has a bound.
func (m *Model) coldRate(u *conf.Upstream, cold bool) (rate float64, bounded bool) {
	if !cold {
		return -1, false
	}
	service, ok := m.set.Service(u.Service)
	if !ok || service.ColdRate <= 0 {
		return -1, false
	}
	users := max(1, min(len(m.members.IDs), int(coldShare*service.ColdRate/leastColdRate)))
	if len(m.members.IDs) > users && route.Rank(string(u.ID), m.members.Self, m.members.IDs) >= users {
		return 0, true
	}
	return coldShare * service.ColdRate / float64(users), true
}

// weighCall weighs an upstream for a plain call.
func (m *Model) weighCall(now time.Time, need *Need, o *option) {
	u := o.upstream
	s, p, l := m.speed(need.Service), m.pace(u.ID), m.load(u.ID)
	p.fade(now)
	total := l.total(now)
	slots := max(u.Slots, 1)
	rounds := 1 + max(0, float64(total.Requests+1-slots))/float64(slots)
	first := s.call * rounds * p.slow
	o.first = time.Duration(first)
	o.cost = first*(1+0.3*float64(total.Requests)/float64(slots)) + m.besides(need, u, p)
	o.idle = total.Requests < slots/2
}

// besides is what a choice costs apart from its time.
func (m *Model) besides(need *Need, u *conf.Upstream, p *pace) (cost float64) {
	bad := max(0, p.bad-m.speed(need.Service).bad)
	cost = badCost * float64(need.Objective) * bad
	if u.Zone != m.members.Zone {
		cost += float64(zoneCost)
	}
	return cost
}

// weighEngine weighs a model engine and tells what keeps it from taking the request now.
func (m *Model) weighEngine(now time.Time, need *Need, step int, find *finder, o *option) Bound {
	u := o.upstream
	s, p, l := m.speed(need.Service), m.pace(u.ID), m.load(u.ID)
	p.fade(now)
	total := l.total(now)
	o.version, o.idle = u.Weights[need.Model], total.Requests < u.Slots/2
	find.fill(o)
	o.missing = find.tokens - o.kept - o.fetched
	o.ahead = l.ahead(need.Rank)
	if bound := m.bound(need, step, find.service, total, o); bound != Free {
		return bound
	}
	first := s.first(o.ahead+o.missing)*p.slow + float64(o.fetchTime)
	o.first = time.Duration(first)
	o.cost = first*(1+float64(total.Requests)/float64(max(u.Slots, 1))) + m.besides(need, u, p)
	o.cost += s.perToken * (againFactor*float64(o.again) + fetchWeight*float64(o.fetched))
	if !m.newerSince(need.Model, o.version).IsZero() {
		o.cost += oldCost * float64(need.Objective)
	}
	return Free
}
