package place

import (
	"math"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

const (
	// crossZoneCost is added for an upstream in another availability zone, about the time of a few round trips.
	crossZoneCost = 4 * time.Millisecond
	// recomputeWeight is the extra cost of a token that another holder has or prefills, relative to a new one.
	recomputeWeight = 1.0
	// fetchWeight is the cost of a fetched token relative to a prefilled one: its copy takes memory from other parts.
	fetchWeight = 0.05
	// oldWeightsCost is the fraction of the objective that is added for an upstream with older weights.
	oldWeightsCost = 0.3
	// failureCost is how many objectives are added for an upstream that fails every request.
	failureCost = 4
	// versionMargin is subtracted from versionGrace, since the time to the first token, with which a run begins, can only
	// be estimated.
	versionMargin = 1500 * time.Millisecond
)

// option is an upstream scored for a request.
type option struct {
	upstream *conf.Upstream
	// quota is this entry's part of the rate of requests to the upstream.
	quota quota
	// firstByte is the expected time to the first byte.
	firstByte time.Duration
	// cost is the score in ns; the option with the lowest one is chosen.
	cost    float64
	version int64
	salt    string
	// keys holds the key of each shared part.
	keys []parts.Key
	// ahead is the prefill backlog served before the request and missing the request's own prefill, in prompt tokens.
	ahead, missing int
	// cached is how many prompt tokens the upstream has, recomputed how many another holder has or prefills and
	// that the upstream prefills all the same.
	cached, recomputed int
	// fetched is how many tokens come from other holders, source the holder whose transfer ends last.
	fetched    int
	source     parts.Holder
	fetchDelay time.Duration
	// fetchZone is the zone of a holder in another zone than the upstream, empty if nothing is fetched across zones.
	fetchZone ident.Zone
	// crossed counts the tokens that are, crossing is the cost of that in ns. With nearOnly nothing is fetched across zones.
	crossed  int
	crossing float64
	nearOnly bool
	// forced is set if the own zone can't serve the request in time.
	forced bool
	// fetch and transfers hold the sources and transfers of the fetched parts; they are set for the chosen option only.
	fetch     []conf.Source
	transfers []Transfer
	// idle is set if less than half of the upstream's slots are in use.
	idle bool
}

// Tally counts the upstreams of a service by whether they can take a request.
type Tally struct {
	// Closed upstreams are not eligible, those Limited have no token left for this entry, Full ones lack capacity for
	// the request, Open ones can take it.
	Closed, Limited, Full, Open int
	// FullBy counts the full ones by the exhausted resource.
	FullBy [boundCount]int
}

// choose scores the upstreams of a service and returns the best option, nil if none can take the request. In a large
// fleet it scores a sample; if only isn't empty, it scores that upstream alone. Upstreams that the gate does not admit are chosen
// only for the context that they have.
func (m *Model) choose(
	now time.Time, need *Need, avoid []ident.UpstreamID, only ident.UpstreamID, g gate,
) (best *option, tally Tally, ahead outlook) {
	service, ok := m.set.Service(need.Service)
	if !ok {
		return nil, tally, ahead
	}
	m.expirePeers(now)
	find := newFinder(m, now, need, service)
	step := m.urgencyStep(now, need)
	subset, position := sample{all: true}, -1
	if only == "" && need.Spread == "" {
		subset = m.sample(find, g)
	}
	var admitted contender
	var outside *contender
	var candidate option
	m.fleet.Each(now, need.Service, func(u *conf.Upstream, status fleet.Status) {
		if position++; only != "" && u.ID != only || !subset.has(position, u) {
			return
		}
		isAdmitted, tally, ahead := m.admits(g, u), &tally, &ahead
		if !isAdmitted {
			tally, ahead = &Tally{}, &outlook{}
		}
		if slices.Contains(avoid, u.ID) || !m.open(now, u, status, service, need) {
			tally.Closed++
			ahead.close(status)
			return
		}
		q := m.quota(u, status.Cold, status.Limit)
		if tokens := m.tokens(now, u.ID, q); tokens < 1 {
			tally.Limited++
			ahead.add(q, tokens)
			return
		}
		if !m.belowLimit(now, u, status) {
			tally.Full++
			tally.FullBy[Slots]++
			return
		}
		candidate = option{upstream: u, quota: q}
		if service.Engine == nil || len(need.Chain) == 0 {
			m.scoreCall(now, need, &candidate)
		} else if bound := m.scoreEngine(now, need, step, find, &candidate); bound != Free {
			tally.Full++
			tally.FullBy[bound]++
			return
		}
		if until, outdated := m.outdated(need.Model, u.Weights[need.Model]); outdated && service.Engine != nil && now.Add(candidate.firstByte).After(until) {
			tally.Closed++
			return
		}
		m.gather(need, &candidate)
		switch {
		case need.Spread != "":
			candidate.cost = -float64(route.Weight(route.HashID(ident.UpstreamID(need.Spread)), route.HashID(u.ID)))
		case m.mustTry(now, need, status, &candidate):
			candidate.cost, isAdmitted = math.Inf(-1), true
		}
		switch {
		case isAdmitted:
			tally.Open++
			admitted.offer(m, &candidate)
		case candidate.cached > 0:
			if outside == nil {
				outside = &contender{}
			}
			outside.offer(m, &candidate)
		}
	})
	best = m.better(need, &admitted, outside)
	if best != nil && len(find.shared) > 0 {
		find.nameSources(best)
	}
	return best, tally, ahead
}

// open reports whether an upstream is eligible for the request, whatever its load and the rate of requests to it.
func (m *Model) open(now time.Time, u *conf.Upstream, status fleet.Status, service *conf.Service, need *Need) bool {
	return status.Usable && !status.Ordered && m.releaseAllowed(now, u, need) && m.mayStart(now, u, service, need)
}

// mayStart reports whether the weights of an upstream are new enough for the request.
func (m *Model) mayStart(now time.Time, u *conf.Upstream, service *conf.Service, need *Need) bool {
	if service.Engine == nil || need.Model == "" {
		return true
	}
	until, outdated := m.outdated(need.Model, u.Weights[need.Model])
	return !outdated || !now.After(until)
}

// StillEligible reports whether the upstream that was chosen for a request may still get it: a decision may be old when it
// is carried out. An upstream that began to carry out an order since decides about the request itself.
func (m *Model) StillEligible(now time.Time, t Ticket) bool {
	s, ok := m.sent[t]
	if !ok {
		return false
	}
	u, listed := m.fleet.Get(s.upstream)
	service, known := m.set.Service(s.need.Service)
	return listed && known && m.fleet.Usable(now, u.ID) && m.mayStart(now, &u, service, &s.need) && m.releaseAllowed(now, &u, &s.need)
}

// scoreCall scores an upstream for a plain call.
func (m *Model) scoreCall(now time.Time, need *Need, o *option) {
	u := o.upstream
	service, stats, l := m.serviceStats(need.Service), m.upstreamStats(u.ID), m.load(u.ID)
	stats.decay(now)
	total := l.total(now)
	slots := max(u.Slots, 1)
	first := service.call * turns(total.Requests, slots) * m.slowdown(now, u, stats)
	o.firstByte = times.Duration(first)
	o.cost = first*(1+0.3*float64(total.Requests)/float64(slots)) + m.penalty(need, u, stats)
	o.idle = total.Requests < slots/2
}

// penalty returns the cost of failures above the service's average and of crossing zones, in ns.
func (m *Model) penalty(need *Need, u *conf.Upstream, stats *upstreamStats) (cost float64) {
	excess := max(0, stats.failureRate-m.serviceStats(need.Service).failureRate)
	cost = failureCost * float64(need.Objective) * excess
	return cost + m.leaveCost(need, u.Zone)
}

// scoreEngine scores a model engine. It returns the resource that the engine lacks for the request, Free if none.
func (m *Model) scoreEngine(now time.Time, need *Need, step int, find *finder, o *option) Bound {
	u := o.upstream
	service, stats, l := m.serviceStats(need.Service), m.upstreamStats(u.ID), m.load(u.ID)
	stats.decay(now)
	total := l.total(now)
	o.version, o.idle = u.Weights[need.Model], total.Requests < u.Slots/2
	find.planFetch(o)
	if o.crossing = m.crossingCost(need, o); o.crossing > (1+recomputeWeight)*service.perToken*float64(o.crossed) {
		*o = option{upstream: u, quota: o.quota, version: o.version, idle: o.idle, nearOnly: true}
		find.planFetch(o)
	}
	o.missing = find.tokens - o.cached - o.fetched
	o.ahead = l.ahead(need.Rank)
	if bound := m.bound(need, step, find.service, total, o); bound != Free {
		return bound
	}
	first := service.firstByte(o.ahead+o.missing)*m.slowdown(now, u, stats) + float64(o.fetchDelay)
	o.firstByte = times.Duration(first)
	o.cost = first*(1+float64(total.Requests)/float64(max(u.Slots, 1))) + m.penalty(need, u, stats)
	o.cost += o.crossing + service.perToken*(recomputeWeight*float64(o.recomputed)+fetchWeight*float64(o.fetched))
	if _, outdated := m.outdated(need.Model, o.version); outdated {
		o.cost += oldWeightsCost * float64(need.Objective)
	}
	return Free
}
