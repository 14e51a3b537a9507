package place

import (
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/times"
	"cicadavalve/core/zones"
)

const (
	// zoneInterval is the interval at which the zones are observed, at least zoneReports report intervals: the loads of other
	// entries must show what the last step has changed.
	zoneInterval = 250 * time.Millisecond
	zoneReports  = 2
	// A request waits for the own zone while that is full, as slots that become free there are used first: for as long as leaving
	// costs, but from holdShare to maxHoldShare of its objective, at most 1/waitedDivisor of the time left when it arrived.
	holdShare     = 0.1
	maxHoldShare  = 0.75
	waitedDivisor = 6
	// betterShare is the fraction of the upstreams by whose expected first byte a zone is judged: a request compares only a few,
	// and the very best one of a zone may be one that nobody has noticed yet.
	betterShare = 0.25
	// usualSmoothing is the weight of a new request in the average number of prompt tokens to prefill.
	usualSmoothing = 0.02
)

// WithZones sets the model that decides what leaving the availability zone costs and how many requests may do so. Without it
// each other zone costs [crossZoneCost].
func WithZones(z *zones.Model) Option {
	return func(m *Model) { m.zones = z }
}

// gate is which zones a request may be sent to.
type gate struct {
	// open is set if it may be sent to any zone.
	open bool
	// permitted is the other zone to which it may be sent because of the waits, empty if there is none.
	permitted ident.Zone
}

// gateOf returns the zones to which a request may be sent. Requests that are meant for certain upstreams may be sent to any.
func (m *Model) gateOf(need *Need) (g gate) {
	if m.zones == nil || need.Spread != "" || need.Sampled || m.zones.Lost(need.Service) {
		return gate{open: true}
	}
	g.permitted, _ = m.zones.Permit(need.Service, uint64(need.Ticket))
	return g
}

// admits reports whether a request may be sent to an upstream whatever context that has.
func (m *Model) admits(g gate, u *conf.Upstream) bool {
	return g.open || u.Zone == m.members.Zone || u.Zone == g.permitted
}

// chooseZone chooses among the upstreams of the own zone and those outside that the request may be sent to. A request that these can't
// serve in time may be sent to any zone: none is refused for the share that may leave. One that would miss its objective may be too, but
// only half of these: the loads of the own zone are as old as the last reports, and all entries see the same.
func (m *Model) chooseZone(now time.Time, need *Need, avoid []ident.UpstreamID, only ident.UpstreamID) (best *option, tally Tally, ahead outlook) {
	g := m.gateOf(need)
	best, tally, ahead = m.choose(now, need, avoid, only, g)
	misses := best != nil && now.Add(best.firstByte).After(need.Arrived.Add(need.Objective))
	switch {
	case g.open, best != nil && !misses:
		return best, tally, ahead
	case best == nil && (tally.Full > 0 || only != "") && now.Sub(need.Arrived) < m.holdTime(need):
		return best, tally, ahead
	case best != nil && !now.Add(best.firstByte).After(need.Deadline) && !m.late(now, need, best) && !m.zones.Half(uint64(need.Ticket)):
		return best, tally, ahead
	}
	anywhere, tally, ahead := m.choose(now, need, avoid, only, gate{open: true})
	if anywhere != nil {
		anywhere.forced = true
	}
	return anywhere, tally, ahead
}

// holdTime returns how long a request waits for the own zone while that is full. It differs by up to a half between requests, so that
// those of all entries do not leave at the same moment.
func (m *Model) holdTime(need *Need) time.Duration {
	objective := float64(need.Objective)
	hold := min(max(holdShare*objective, float64(m.zones.Toll(need.Service))), maxHoldShare*objective) * m.zones.Spread(uint64(need.Ticket))
	return min(times.Duration(hold), need.Deadline.Sub(need.Arrived)/waitedDivisor)
}

// contender is the best of the options scored so far, as long as ties are broken at random.
type contender struct {
	option option
	ties   int
}

// offer takes an option if it is the best one. Ties are broken at random. Otherwise the first upstream would get what all
// entries send at their start.
func (c *contender) offer(m *Model, candidate *option) {
	if c.ties == 0 || candidate.cost < c.option.cost {
		c.ties = 1
	} else if candidate.cost == c.option.cost {
		c.ties++
	} else {
		return
	}
	if m.rng.IntN(c.ties) == 0 {
		c.option = *candidate
	}
}

// better returns the best option among those to which the request may be sent whatever their context, and those outside that it
// may be sent to for their context alone (outside may be nil); nil if none of the first can take it. Leaving for context must save more time than its price, so
// that a busy zone is no reason.
func (m *Model) better(need *Need, admitted, outside *contender) *option {
	if admitted.ties == 0 {
		return nil
	}
	own := &admitted.option
	if outside == nil || own.cost <= outside.option.cost {
		return own
	}
	o := &outside.option
	tokens := float64(own.missing-o.missing) + recomputeWeight*float64(own.recomputed-o.recomputed)
	saved := m.serviceStats(need.Service).perToken*tokens + float64(own.fetchDelay-o.fetchDelay) + own.crossing - o.crossing
	if saved > float64(m.zones.Price(need.Service, o.upstream.Zone)) {
		return o
	}
	return own
}

// leaveCost returns the cost of an upstream in another zone for a request, in ns.
func (m *Model) leaveCost(need *Need, zone ident.Zone) float64 {
	switch {
	case zone == m.members.Zone:
		return 0
	case m.zones == nil:
		return float64(crossZoneCost)
	}
	return float64(m.zones.Price(need.Service, zone))
}

// crossingCost returns the cost of fetching over a link between zones, in ns: that of leaving, since far more bytes cross then than with
// a request and its answer.
func (m *Model) crossingCost(need *Need, o *option) float64 {
	switch {
	case m.zones == nil || o.fetchZone == "":
		return 0
	case o.fetchZone == m.members.Zone:
		return m.leaveCost(need, o.upstream.Zone)
	}
	return m.leaveCost(need, o.fetchZone)
}

// noteZone reports to the model of zones where a request is sent, and why.
func (m *Model) noteZone(now time.Time, need *Need, o *option) {
	if m.zones == nil {
		return
	}
	if len(need.Chain) > 0 {
		smooth(&m.serviceStats(need.Service).usual, float64(o.missing), usualSmoothing)
	}
	reason := zones.Context
	switch permitted, _ := m.zones.Permit(need.Service, uint64(need.Ticket)); {
	case o.upstream.Zone == m.members.Zone:
		reason = zones.Own
	case m.zones.Lost(need.Service):
		reason = zones.Lost
	case o.forced:
		reason = zones.Full
	case o.upstream.Zone == permitted:
		reason = zones.Waits
	}
	m.zones.Update(now, zones.SentMsg{Service: need.Service, Zone: o.upstream.Zone, Reason: reason})
}

// noteDelay reports to the model of zones how late a first byte came, compared with an upstream of the own zone at its usual speed.
// The first byte after a fetch depends on the link of the holder of what was fetched, so it does not count.
func (m *Model) noteDelay(now time.Time, s *sent, elapsed time.Duration) {
	u, listed := m.fleet.Get(s.upstream)
	if m.zones == nil || !listed || s.fetchFrom != "" {
		return
	}
	m.zones.Update(now, zones.AnswerMsg{Service: s.need.Service, Zone: u.Zone, Late: elapsed - s.usual})
}

// noteLink reports to the model of zones how an attempt ended, if its link may be the reason.
func (m *Model) noteLink(now time.Time, s *sent, outcome Outcome) {
	if m.zones == nil || outcome == Rejected || outcome == Cancelled || outcome == Failed {
		return
	}
	if u, listed := m.fleet.Get(s.upstream); listed {
		m.zones.Update(now, zones.OutcomeMsg{Service: s.need.Service, Zone: u.Zone, Failed: outcome == Broken})
	}
}

// observeZones reports the state of all zones to the model of zones.
func (m *Model) observeZones(now time.Time) (cmds []ident.Cmd) {
	if m.zones == nil || now.Sub(m.zonesAt) < max(zoneInterval, zoneReports*m.members.ReportInterval) {
		return nil
	}
	m.zonesAt = now
	m.expirePeers(now)
	for i := range m.set.Services() {
		service := &m.set.Services()[i]
		if service.Store == nil {
			msg := zones.ObserveMsg{Service: service.Name, Objective: m.objectives[service.Name], Views: m.viewZones(now, service)}
			cmds = append(cmds, m.zones.Update(now, msg)...)
		}
	}
	return cmds
}

// viewZones returns the state of a service's upstreams in each zone.
func (m *Model) viewZones(now time.Time, service *conf.Service) (views []zones.View) {
	waits := map[ident.Zone][]time.Duration{}
	byZone := map[ident.Zone]*zones.View{}
	m.fleet.Each(now, service.Name, func(u *conf.Upstream, status fleet.Status) {
		v, known := byZone[u.Zone]
		if !known {
			v = &zones.View{Zone: u.Zone}
			byZone[u.Zone] = v
		}
		if !status.Usable {
			return
		}
		v.Usable++
		if status.Cold || status.Limit.Named || status.Ordered {
			return
		}
		v.Warm++
		used := m.load(u.ID).total(now).Requests
		v.Slots, v.Free = v.Slots+u.Slots, v.Free+max(u.Slots-used, 0)
		waits[u.Zone] = append(waits[u.Zone], m.usualWait(now, service, u, status))
	})
	for zone, v := range byZone {
		v.FirstByte = unknownWait
		if w := waits[zone]; len(w) > 0 {
			slices.Sort(w)
			v.FirstByte = w[int(betterShare*float64(len(w)-1))]
		}
		views = append(views, *v)
	}
	return views
}

// unknownWait is the time to the first byte at an upstream that is full, or in a zone where all are: longer than any objective.
const unknownWait = time.Hour

// usualWait returns the expected time to the first byte of a usual request at an upstream.
func (m *Model) usualWait(now time.Time, service *conf.Service, u *conf.Upstream, status fleet.Status) time.Duration {
	stats, l := m.upstreamStats(u.ID), m.load(u.ID)
	total, slots := l.total(now), max(u.Slots, 1)
	stats.decay(now)
	if !m.belowLimit(now, u, status) {
		return unknownWait
	}
	s := m.serviceStats(service.Name)
	if service.Engine == nil {
		return times.Duration(s.call * turns(total.Requests, slots) * stats.slowdown)
	}
	if total.Requests >= slots || float64(total.Memory) >= memoryShare*float64(service.Engine.Memory) {
		return unknownWait
	}
	return times.Duration(s.firstByte(total.Backlog+int(s.usual)) * stats.slowdown)
}

// turns returns how many times the duration of a call one more call takes at an upstream.
func turns(requests, slots int) float64 {
	return 1 + max(0, float64(requests+1-slots))/float64(slots)
}
