package share

import (
	"cmp"
	"math"
	"time"

	"cicadavalve/core/ident"
)

const (
	// rankWorth is the worth of an answer in time, relative to one that is one rank more urgent.
	rankWorth = 0.5
	// lateWorth is the worth of an answer after its objective, relative to one in time.
	lateWorth = 0.25
	// lookahead is the slack, in shortest objectives of the service, that lowers the priority to 1/e.
	lookahead = 0.5
	// minEngineTime is the least engine time by which worth is divided.
	minEngineTime = time.Millisecond

	// routeMemory is the time constant of the counts of each route. It is longer than a wave of load, so that every
	// route has some of its requests counted.
	routeMemory = 20 * time.Second
	// minRoute is the count of requests below which a route is forgotten, minOffered the one below which nothing is concluded.
	minRoute   = 0.1
	minOffered = 4.0
	// starvedShare is how often a route is served relative to all, below which it goes first. The rule allows no less than a quarter.
	starvedShare = 0.4
)

// Request is what the order of the queue depends on.
type Request struct {
	Org   ident.OrgID
	Route string
	// Rank is the urgency, 0 the most urgent.
	Rank int
	// Due is when the objective ends.
	Due time.Time
	// Shortest is the shortest objective of any route to the service.
	Shortest time.Duration
	// Time is the engine time that it takes.
	Time time.Duration
}

// Priority is a place in the order of the queue.
type Priority struct {
	// above is set for organisations above their share, starved for routes that are served too rarely.
	above, starved bool
	// index is worth for the engine time against the time left.
	index float64
}

// Above reports whether the request is of an organisation above its share.
func (p Priority) Above() bool { return p.above }

// Compare returns a negative number if p goes before q: organisations that are not above their share go first, among them routes
// that are served too rarely, then what is worth most.
func (p Priority) Compare(q Priority) int {
	return cmp.Or(compareBool(p.above, q.above), compareBool(q.starved, p.starved), cmp.Compare(q.index, p.index))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Prioritise returns a request's place in the queue. Within an organisation's standing the order is that of apparent tardiness cost: the worth
// for each unit of engine time, lowered exponentially by the slack that is left until the request would be late.
func (m *Model) Prioritise(now time.Time, r Request) (p Priority) {
	p.above = m.Steps(now, r.Org) > 0
	p.starved = !p.above && m.Starved(now, r.Route)
	engineTime := max(r.Time, minEngineTime)
	slack := r.Due.Sub(now) - engineTime
	worth := math.Pow(rankWorth, float64(r.Rank))
	if slack < 0 {
		worth *= lateWorth
	}
	scale := max(lookahead*float64(r.Shortest), float64(minEngineTime))
	p.index = worth / float64(engineTime) * math.Exp(-float64(max(slack, 0))/scale)
	return p
}

// route counts requests of one route.
type route struct{ offered, served decaying }

// offer counts a request for the routes' rates of service. Those of an organisation above its share don't count: they are refused for
// its use and not for their route.
func (m *Model) offer(now time.Time, msg OfferedMsg) {
	if m.Steps(now, msg.Org) > 0 {
		return
	}
	m.route(msg.Route).offered.add(now, 1, routeMemory)
	m.offered.add(now, 1, routeMemory)
}

// serve counts a served request.
func (m *Model) serve(now time.Time, msg ServedMsg) {
	if m.Steps(now, msg.Org) > 0 {
		return
	}
	m.route(msg.Route).served.add(now, 1, routeMemory)
	m.served.add(now, 1, routeMemory)
}

func (m *Model) route(name string) *route {
	r, ok := m.routes[name]
	if !ok {
		r = &route{}
		m.routes[name] = r
	}
	return r
}

// Starved reports whether the requests of a route are served less than 0.4 times as often as all at this entry. They then go
// first and are admitted as the most urgent ones.
func (m *Model) Starved(now time.Time, name string) bool {
	r, known := m.routes[name]
	if !known {
		return false
	}
	offered, all := r.offered.value(now, routeMemory), m.offered.value(now, routeMemory)
	if offered < minOffered || all <= 0 {
		return false
	}
	return r.served.value(now, routeMemory)/offered < starvedShare*m.served.value(now, routeMemory)/all
}
