package scale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// minUse is the use below which a few refusals have other causes than too few upstreams, such as limits and deadlines. From manyRefused
	// on, as a share of the arrivals, that is minManyUse: what fills the upstreams may not be seen.
	minUse, minManyUse = 0.4, 0.15
	manyRefused        = 0.05
	// pressedTime is how long callers must have waited or been refused: batches of requests wait for some milliseconds.
	pressedTime = 300 * time.Millisecond
	// minWeight is the least part of the mean demand of all zones that a zone's callers count for.
	minWeight = 0.1
	// holdLeads is how many leads the peak of the demand is remembered at least.
	holdLeads = 2.5
)

// order is an order that is due.
type order struct {
	cmd OrderCmd
	// step is the change of the number.
	step int
}

// sortOrders puts the largest steps up first and the steps down last.
func sortOrders(orders []order) {
	slices.SortStableFunc(orders, func(a, b order) int { return cmp.Compare(b.step, a.step) })
}

// lead is the time from an order until the upstream bears its full load.
func (s *ServiceState) lead() time.Duration { return s.Bounds.Boot + s.Cold }

// hold is how long the peak of the demand counts.
func (s *ServiceState) hold() time.Duration {
	return max(holdTime, time.Duration(holdLeads*float64(s.lead())))
}

// summary is the state of a service in all zones.
type summary struct {
	ready, requests           int
	busy                      float64
	waiting, refused, arrived int
}

func (s *ServiceState) summary() (sum summary) {
	for i := range s.Zones {
		z := &s.Zones[i]
		sum.ready, sum.requests, sum.busy = sum.ready+z.Ready, sum.requests+z.Requests, sum.busy+z.Busy
		sum.waiting, sum.refused, sum.arrived = sum.waiting+z.Callers.Waiting, sum.refused+z.Callers.Refused, sum.arrived+z.Callers.Arrived
	}
	return sum
}

// use is the part of the capacity of the ready upstreams that is in use.
func (s *summary) use() float64 { return s.busy / float64(max(s.ready, 1)) }

// pressed reports whether callers wait or are refused for lack of upstreams.
func (s *summary) pressed() bool {
	waits := s.waiting >= minCallers && float64(s.waiting) >= waitingShare*float64(s.requests)
	refuses := s.refused >= minCallers && float64(s.refused) >= refusedShare*float64(s.arrived)
	least := minUse
	if refuses && float64(s.refused) >= manyRefused*float64(s.arrived) {
		least = minManyUse
	}
	return (waits || refuses) && s.use() >= least
}

// pressedNeed returns how many upstreams would serve the callers that wait or are refused as well.
func (s *summary) pressedNeed() (need int) {
	factor := min(float64(max(s.arrived, 1))/float64(max(s.arrived-s.refused, 1)), maxRise)
	busy := s.busy*factor + float64(s.waiting*s.ready)/float64(max(s.requests, 1))
	return min(max(upstreams(busy, targetUse), upstreams(float64(s.ready), 1/pressedRise)), maxRise*s.ready)
}

// upstreams returns how many upstreams a demand needs at a use.
func upstreams(busy, use float64) int {
	const rounding = 1e-9
	return int(math.Ceil(busy/use - rounding))
}

// expected returns the demand to expect within the next lead, from the peak and the growth.
func expected(now time.Time, d *series, state *ServiceState) float64 {
	peak := d.peak(now, state.hold())
	return peak + min(d.growth(now, state.lead()), maxGrowth*peak)
}

// observe applies a new state of the service.
func (s *service) observe(now time.Time, state *ServiceState) {
	sum := state.summary()
	s.demand.observe(now, state.lead(), sum.busy)
	seen := map[ident.Zone]bool{}
	for _, zs := range state.Zones {
		seen[zs.Zone] = true
		if s.zones[zs.Zone] == nil {
			s.zones[zs.Zone] = &zone{roseAt: now}
		}
		s.zones[zs.Zone].observe(now, state.lead(), zs)
	}
	for name, z := range s.zones {
		if !seen[name] {
			z.observe(now, state.lead(), ZoneState{Zone: name, Avoided: z.state.Avoided})
		}
	}
	if !sum.pressed() {
		s.pressedAt = time.Time{}
		return
	}
	s.raisedAt = now
	if s.pressedAt.IsZero() {
		s.pressedAt = now
	}
}

// note remembers when the number was changed.
func (s *service) note(now time.Time, o *order) {
	switch {
	case o.step > 0:
		s.raisedAt = now
	case o.step < 0:
		s.loweredAt = now
	}
}

// target is the number that a zone should have.
type target struct {
	name   ident.Zone
	zone   *zone
	count  int
	reason Reason
}

// plan returns the orders that are due for a service.
func (s *service) plan(now time.Time, state *ServiceState) (orders []order) {
	sum := state.summary()
	targets := s.targets(now, state)
	s.cover(now, state, &sum, targets)
	for _, t := range targets {
		if count, reason := t.next(now, state); reason != "" {
			orders = append(orders, t.order(state, &sum, count, reason))
		}
	}
	if len(orders) > 0 {
		return orders
	}
	if t, reason := s.lower(now, state, targets); t != nil {
		orders = append(orders, t.order(state, &sum, t.zone.base()-1, reason))
	}
	return orders
}

func (t *target) order(state *ServiceState, sum *summary, count int, reason Reason) order {
	z := t.zone
	return order{OrderCmd{
		Service: state.Name, Zone: t.name, Count: count, Reason: reason, Before: z.base(), Listed: z.state.Listed, Ready: z.state.Ready,
		Use: sum.use(), Waiting: sum.waiting, Refused: sum.refused,
	}, count - z.base()}
}

// targets returns for each zone what its own upstreams need, at least the present number.
func (s *service) targets(now time.Time, state *ServiceState) (targets []*target) {
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		t := &target{name: name, zone: z, count: z.base()}
		targets = append(targets, t)
		if !z.known || z.state.Avoided {
			continue
		}
		// The growth of one zone may be what another has lost.
		if need := upstreams(z.demand.peak(now, state.hold()), zoneUse); need > t.count {
			t.count, t.reason = need, BusyZone
		}
		if state.Bounds.Min > t.count && now.Sub(z.roseAt) >= state.shown() {
			t.count, t.reason = state.Bounds.Min, Below
		}
		t.bound(state)
	}
	return targets
}

// bound limits a raised target to the bounds and to the least step.
func (t *target) bound(state *ServiceState) {
	base := t.zone.base()
	if t.count > base {
		t.count = max(t.count, base+upstreams(minStep*float64(base), 1), state.Bounds.Min)
	}
	t.count = max(min(t.count, state.Bounds.Max), base)
}

// unknownZones reports the zones with callers in which no upstream of the service was ever listed: nothing is ordered there, since the
// provider may not know them.
func (s *service) unknownZones(now time.Time, state *ServiceState) (faults []ident.Cmd) {
	for i := range state.Zones {
		zs := &state.Zones[i]
		z := s.zones[zs.Zone]
		if z.known || z.reported || zs.Callers.Arrived == 0 || now.Sub(z.roseAt) < state.shown() {
			continue
		}
		z.reported = true
		faults = append(faults, FaultCmd{Service: state.Name, Zone: zs.Zone, Fault: "no upstream of the service was ever listed in the zone"})
	}
	return faults
}

// cover raises the targets until they cover the need of the service as a whole: requests that arrive in one zone may be served in another.
// Upstreams in zones where they are lost or kept from work don't count.
func (s *service) cover(now time.Time, state *ServiceState, sum *summary, targets []*target) {
	need, reason := upstreams(expected(now, &s.demand, state), targetUse), Busy
	if !s.pressedAt.IsZero() && now.Sub(s.pressedAt) >= pressedTime {
		if pressed := sum.pressedNeed(); pressed > need {
			need, reason = pressed, Pressed
		}
	}
	have, weights := 0, 0.0
	for _, t := range targets {
		if t.zone.state.Avoided {
			continue
		}
		weights += t.zone.weight()
		if t.count > t.zone.base() {
			have += t.count
		} else {
			have += t.zone.coming(now, state.shown())
		}
	}
	least := max(minWeight*weights/float64(max(len(targets), 1)), 1)
	for ; have < need; have++ {
		best := (*target)(nil)
		for _, t := range targets {
			if t.zone.bears() && t.count < state.Bounds.Max && (best == nil || t.weighs(least) > best.weighs(least)) {
				best = t
			}
		}
		if best == nil {
			break
		}
		best.count, best.reason = best.count+1, reason
	}
	for _, t := range targets {
		t.bound(state)
	}
}

// weight is the number of callers of the zone that need upstreams.
func (z *zone) weight() float64 { return float64(z.state.Callers.Arrived + z.state.Callers.Waiting) }

// weighs returns the callers for each upstream of the zone, one more included.
func (t *target) weighs(least float64) float64 {
	return max(t.zone.weight(), least) / float64(t.count+1)
}

// next returns the number to order now, and why; the reason is empty if none is due.
func (t *target) next(now time.Time, state *ServiceState) (count int, reason Reason) {
	z := t.zone
	switch {
	case !z.free(now):
	case z.unknown:
		return z.ordered, Repeated
	case !z.settled(now):
	case t.count > max(z.base(), z.state.Listed) && !z.state.Avoided:
		// More may be listed than were ordered last, and an order of fewer would end them.
		return t.count, t.reason
	case z.reconcile(now, state.shown()):
		return z.ordered, Differs
	}
	return 0, ""
}

// lower returns the zone that gives up an upstream, nil if none does: the one with the most to spare. Nothing is given up while any number
// is not the ordered one, or any upstream is not ready.
func (s *service) lower(now time.Time, state *ServiceState, targets []*target) (best *target, reason Reason) {
	if now.Sub(s.loweredAt) < state.lead() {
		return nil, ""
	}
	held := now.Sub(s.raisedAt) >= state.hold()
	listed, spare := 0, 0.0
	for _, t := range targets {
		listed += t.zone.state.Listed
		held = held && (!t.zone.known || t.zone.agrees() && t.zone.state.Ready == t.zone.state.Listed && !t.zone.state.Avoided)
	}
	held = held && listed-1 >= upstreams(expected(now, &s.demand, state), idleUse)
	for _, t := range targets {
		z := t.zone
		base := z.base()
		switch {
		case !z.free(now) || !z.agrees() || !z.settled(now):
			continue
		case base > state.Bounds.Max:
			return t, Above
		}
		left := float64(base-1) - z.demand.peak(now, state.hold())/idleUse
		if held && base > state.Bounds.Min && left >= 0 && (best == nil || left > spare) {
			best, spare = t, left
		}
	}
	return best, Idle
}
