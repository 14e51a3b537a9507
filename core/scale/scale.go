// Package scale decides how many upstreams of each service run in each availability zone.
//
// The demand is the capacity in use as all entries see it, and what callers wait for or are refused. A new upstream takes the boot time and
// then bears little while it is cold, so the number follows the peak of the last half minute and the growth over that time. It goes up as
// soon as callers wait or are refused, and down by one upstream at a time, long after that: each one that leaves takes its cached context with it.
//
// Only the holder of the lease gives orders. An order may be carried out late or never, so the model compares the upstreams that are
// listed with the number that it ordered last.
package scale

import (
	"time"

	"golang.org/x/time/rate"

	"cicadavalve/core/ident"
)

const (
	// targetUse is the part of the capacity in use at the peak for which upstreams are ordered. Requests of low urgency are admitted up
	// to 0.5 to 0.7 of an engine, so that callers begin to wait above it.
	targetUse = 0.6
	// zoneUse is that for one availability zone: other zones help while the service as a whole has enough.
	zoneUse = 0.75
	// idleUse is the part in use at the peak of the last holdTime that the remaining upstreams may reach after a step down.
	idleUse = 0.48
	// pressedRise is the factor on the ready upstreams that is ordered at least when callers wait or are refused, and maxRise the
	// largest factor that their number may cause.
	pressedRise = 1.25
	maxRise     = 2
	// maxGrowth bounds the growth that is expected over one lead, as a share of the peak.
	maxGrowth = 0.5
	// minStep is the least step up, as a share of the upstreams in the zone: one large order is cheaper than many small ones, and a demand
	// that rises goes on rising.
	minStep = 0.1
	// waitingShare and refusedShare are the parts of the requests under way and of the arrivals from which on callers wait or are
	// refused, and minCallers the number of them.
	waitingShare, refusedShare = 0.02, 0.01
	minCallers                 = 2
	// holdTime is how long after a step up, a refusal or a change of holders the number stays at least. It spans two periods of
	// the waves of demand that are known, of 11 to 13 s.
	holdTime = 30 * time.Second
	// settleTime is how long the number of listed upstreams must not have risen before a holder orders for the first time. When all
	// entries start, upstreams are listed one after the other, and an order by the first of them would end the others.
	settleTime = 2 * time.Second
	// orderInterval is the shortest interval of two orders for one service and zone.
	orderInterval = time.Second
	// bootMargin is how much longer than the boot time an order may take to show in the list, minBoot the least boot time assumed for
	// that, if the configuration has a shorter one or none.
	bootMargin = time.Second
	minBoot    = 4 * time.Second
	// rateShare is the part of the provider's rate that orders may take; usage reports take the rest.
	rateShare = 0.5
	// defaultRate is the rate of orders where that of the provider is not known, in calls a second.
	defaultRate = 2
)

// Result is the outcome of an order.
type Result int

// The outcomes of an order.
const (
	// Accepted orders were carried out.
	Accepted Result = iota
	// Refused orders were not carried out and never will be.
	Refused
	// Unknown orders may be carried out later.
	Unknown
)

// String names an outcome.
func (r Result) String() string {
	return [...]string{"accepted", "refused", "unknown"}[r]
}

// Reason is why a number was ordered.
type Reason string

// The reasons of orders.
const (
	// Below and Above: the number is out of its bounds.
	Below Reason = "below_minimum"
	Above Reason = "above_maximum"
	// Pressed: callers wait or are refused.
	Pressed Reason = "callers_wait_or_refused"
	// Busy and BusyZone: the upstreams of the service or of the zone are in use above the target at the peak.
	Busy     Reason = "busy"
	BusyZone Reason = "busy_zone"
	// Idle: fewer are enough.
	Idle Reason = "idle"
	// Repeated: the outcome of the last call is not known.
	Repeated Reason = "outcome_unknown"
	// Differs: the listed number differs from the ordered one after the boot time.
	Differs Reason = "listed_number_differs"
)

// TickMsg triggers the decisions. Each one is a sample of the demand.
type TickMsg struct {
	// Holds reports whether this entry may give orders. It must be false while the upstreams are not known.
	Holds    bool
	Services []ServiceState
}

// OutcomeMsg reports the outcome of an order.
type OutcomeMsg struct {
	Service ident.ServiceName
	Zone    ident.Zone
	Count   int
	Result  Result
}

// OrderCmd requests that a number of upstreams be ordered.
type OrderCmd struct {
	Service ident.ServiceName
	Zone    ident.Zone
	Count   int
	// Reason is why, Before the number that was ordered or listed so far, and Listed and Ready those of the state.
	Reason                Reason
	Before, Listed, Ready int
	// Use is the part of the capacity of the service's ready upstreams that is in use. Waiting and Refused are its callers.
	Use              float64
	Waiting, Refused int
}

// FaultCmd reports bounds that can't be used, once for each change, or a zone for which nothing can be ordered, once.
type FaultCmd struct {
	Service ident.ServiceName
	// Zone is empty if the bounds can't be used.
	Zone  ident.Zone
	Fault string
}

// Status is the number of upstreams of a service in a zone.
type Status struct {
	Service ident.ServiceName
	Zone    ident.Zone
	// Ordered is the number that this entry ordered last, or the listed one.
	Ordered, Listed, Ready int
}

// Model decides for the entry that holds the lease. All others observe the demand, so that a new holder knows its peak. Its methods aren't
// safe for concurrent use.
type Model struct {
	services map[ident.ServiceName]*service
	limiter  *rate.Limiter
	holds    bool
}

// service is the state of one service.
type service struct {
	demand series
	zones  map[ident.Zone]*zone
	// raisedAt is when the number was last raised, when callers last waited or were refused, or when this entry became the holder.
	raisedAt time.Time
	// pressedAt is since when callers wait or are refused, zero if they don't.
	pressedAt time.Time
	// loweredAt is when the number was last lowered.
	loweredAt time.Time
	// fault is the fault of the bounds that was reported last.
	fault string
}

// NewModel returns a model that gives at most a part of perSecond orders a second; 0 if the provider's rate is not known.
//
//	m := scale.NewModel(4)
//	cmds := m.Update(now, scale.TickMsg{Holds: true, Services: scale.Survey(now, set, upstreams, requests, stats)})
func NewModel(perSecond float64) *Model {
	limit := rate.Limit(rateShare * perSecond)
	if perSecond <= 0 {
		limit = defaultRate
	}
	return &Model{services: map[ident.ServiceName]*service{}, limiter: rate.NewLimiter(limit, 1)}
}

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(now, msg)
	case OutcomeMsg:
		if s := m.services[msg.Service]; s != nil {
			if z := s.zones[msg.Zone]; z != nil {
				z.apply(msg)
			}
		}
	}
	return nil
}

func (m *Model) tick(now time.Time, msg TickMsg) (cmds []ident.Cmd) {
	took := msg.Holds && !m.holds
	m.holds = msg.Holds
	seen := map[ident.ServiceName]bool{}
	var orders []order
	for i := range msg.Services {
		state := &msg.Services[i]
		seen[state.Name] = true
		s := m.services[state.Name]
		if s == nil {
			s = &service{zones: map[ident.Zone]*zone{}}
			m.services[state.Name] = s
		}
		if fault := state.Check(); fault != s.fault {
			if s.fault = fault; fault != "" {
				cmds = append(cmds, FaultCmd{Service: state.Name, Fault: fault})
			}
		}
		s.observe(now, state)
		if !msg.Holds {
			for _, z := range s.zones {
				z.release()
			}
			continue
		}
		if took {
			s.raisedAt = now
		}
		if s.fault == "" {
			orders, cmds = append(orders, s.plan(now, state)...), append(cmds, s.unknownZones(now, state)...)
		}
	}
	for name := range m.services {
		if !seen[name] {
			delete(m.services, name)
		}
	}
	return append(cmds, m.send(now, orders)...)
}

// send returns the commands of the orders that the rate allows, the largest steps first.
func (m *Model) send(now time.Time, orders []order) (cmds []ident.Cmd) {
	sortOrders(orders)
	for _, o := range orders {
		if !m.limiter.AllowN(now, 1) {
			break
		}
		s := m.services[o.cmd.Service]
		s.note(now, &o)
		s.zones[o.cmd.Zone].send(now, o.cmd.Count)
		cmds = append(cmds, o.cmd)
	}
	return cmds
}

// Status lists the numbers of all services and zones.
func (m *Model) Status() (list []Status) {
	for name, s := range m.services {
		for zone, z := range s.zones {
			list = append(list, Status{name, zone, z.base(), z.state.Listed, z.state.Ready})
		}
	}
	return list
}
