// Package zones decides when it pays to send requests to upstreams in another availability zone, and how many.
//
// For each service and other zone it keeps two values. The price of leaving is a time: an upstream in the other zone must
// answer sooner by that much. The share is the part of this entry's requests that may leave because of the waits in its own
// zone. It rises in small steps while the own zone is expected to miss objectives and the other zone has free capacity, and
// falls otherwise, so that the entries of a zone, which see the same waits, do not all move their requests at once.
package zones

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

// Thresholds of waits are fractions of the objective of a service, since a wait matters only as far as answers come late.
const (
	// strained is the expected time to the first byte in the own zone from which on requests begin to leave, relieved the one
	// below which they return. The gap keeps the share from following each wave of the load.
	strained = 0.5
	relieved = 0.3
	// room is the expected time to the first byte in the other zone, including the cost of the link, up to which it may get
	// more, crowded the one above which it gets less.
	room    = 0.4
	crowded = 0.6
	// gain is how much sooner the first byte must come in the other zone for the share to rise.
	gain = 0.1
	// stayPrice is added to the price while no request leaves for the waits. Its part of the price falls as the share rises.
	stayPrice = 0.02
	// failurePrice is the price of a link on which every request fails, in objectives.
	failurePrice = 4
)

const (
	// step is how much the shares of all other zones together rise at a time, fall the factor by which a share falls. A share
	// below minShare ends.
	step     = 0.1
	fall     = 0.8
	minShare = 0.01
	// maxShare bounds the shares of all other zones together while the own zone has upstreams, so that its own state is still
	// observed by requests.
	maxShare = 0.8
	// confirmations is how many observations in a row must agree before a share rises from 0: one may be a short burst.
	confirmations = 2
	// minFree is the fraction of the slots of the other zone that must be free for its share to rise.
	minFree = 0.1
)

const (
	// defaultDelay is the extra time of a request to another zone before any answer: a few round trips.
	defaultDelay = 4 * time.Millisecond
	// maxDelay bounds the samples of that time.
	maxDelay = 2 * time.Second
	// delaySmoothing and failureSmoothing are the weights of a new sample.
	delaySmoothing   = 0.05
	failureSmoothing = 0.1
	// memory is how long the estimates of a link stay unchanged without samples, halfLife how long they then take to halve, so that a
	// link that was slow or lossy is tried again.
	memory   = 5 * time.Second
	halfLife = 5 * time.Second
	// retention is how long services and zones that are not observed any more are kept: one may be missing for a moment.
	retention = time.Minute
)

// link is what the answers from one zone show of the way to it.
type link struct {
	// late is the average of how much later than expected the first bytes came, in ns.
	late float64
	// failures is the fraction of failed attempts.
	failures float64
	seenAt   time.Time
}

// pair is the state of one service and another zone.
type pair struct {
	link
	zone ident.Zone
	// share is in [0, 1].
	share float64
	// agreed counts the observations in a row in which it paid to leave.
	agreed int
	view   View
	// listedAt is when an upstream of the service was last listed there.
	listedAt time.Time
	// leaves is whether the last command reported that requests leave.
	leaves bool
	cause  Cause
}

// service is the state of one service.
type service struct {
	objective time.Duration
	own       link
	ownView   View
	// pairs are sorted by zone.
	pairs      []*pair
	observedAt time.Time
	// lost is set while the own zone has no upstream that may get work, and another one has.
	lost bool
	// sent counts the requests by zone and reason.
	sent map[destination]int
}

type destination struct {
	zone   ident.Zone
	reason Reason
}

// Model holds one entry's decisions. Its methods aren't safe for concurrent use.
type Model struct {
	zone ident.Zone
	// seed differs between entries, so that requests with the same ticket are not chosen at all of them.
	seed     uint64
	services map[ident.ServiceName]*service
}

// NewModel returns a model for an entry in a zone, by which no request leaves yet.
//
//	m := zones.NewModel("zone-a", seed)
//	cmds := m.Update(now, zones.ObserveMsg{Service: "llm", Objective: objective, Views: views})
func NewModel(zone ident.Zone, seed uint64) *Model {
	return &Model{zone: zone, seed: seed, services: map[ident.ServiceName]*service{}}
}

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ObserveMsg:
		return m.observe(now, msg)
	case AnswerMsg:
		l := m.link(msg.Service, msg.Zone)
		smooth(&l.late, min(max(float64(msg.Late), -float64(maxDelay)), float64(maxDelay)), delaySmoothing)
		l.seenAt = now
	case OutcomeMsg:
		l, sample := m.link(msg.Service, msg.Zone), 0.0
		if msg.Failed {
			sample = 1
		}
		smooth(&l.failures, sample, failureSmoothing)
		l.seenAt = now
	case SentMsg:
		m.service(msg.Service).sent[destination{msg.Zone, msg.Reason}]++
	}
	return nil
}

// smooth moves an exponential moving average towards a sample of the given weight.
func smooth(average *float64, sample, weight float64) { *average += (sample - *average) * weight }

func (m *Model) service(name ident.ServiceName) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{sent: map[destination]int{}}
		m.services[name] = s
	}
	return s
}

func (m *Model) link(name ident.ServiceName, zone ident.Zone) *link {
	s := m.service(name)
	if zone == m.zone {
		return &s.own
	}
	return &s.pair(zone).link
}

// find returns the position of a zone among the pairs, or where it belongs.
func (s *service) find(zone ident.Zone) (position int, known bool) {
	return slices.BinarySearchFunc(s.pairs, zone, func(p *pair, zone ident.Zone) int { return cmp.Compare(p.zone, zone) })
}

func (s *service) pair(zone ident.Zone) *pair {
	i, known := s.find(zone)
	if !known {
		s.pairs = slices.Insert(s.pairs, i, &pair{zone: zone, link: link{late: s.own.late + float64(defaultDelay)}})
	}
	return s.pairs[i]
}

// observe takes a step of each share of a service.
func (m *Model) observe(now time.Time, msg ObserveMsg) (cmds []ident.Cmd) {
	m.forget(now)
	s := m.service(msg.Service)
	s.applyViews(now, m.zone, msg)
	if lost := s.ownView.Usable == 0 && slices.ContainsFunc(s.pairs, func(p *pair) bool { return p.view.Usable > 0 }); lost != s.lost {
		s.lost = lost
		cmds = append(cmds, LostCmd{Service: msg.Service, Lost: lost})
	}
	s.own.decay(now, 0)
	var rising []*pair
	free := 0
	for _, p := range s.pairs {
		p.decay(now, s.own.late+float64(defaultDelay))
		if s.pays(p) {
			rising, free = append(rising, p), free+p.view.Free
		}
	}
	rise := min(step, max(maxShare-s.total(), 0))
	for _, p := range rising {
		p.cause = Strained
		p.share += rise * float64(p.view.Free) / float64(max(free, 1))
	}
	for _, p := range s.pairs {
		if p.leaves != (p.share > 0) {
			p.leaves = p.share > 0
			cmds = append(cmds, ChangedCmd{Service: msg.Service, Status: s.status(p)})
		}
	}
	return cmds
}

// applyViews applies the present views, and drops the zones that have not been listed for long and get nothing.
func (s *service) applyViews(now time.Time, own ident.Zone, msg ObserveMsg) {
	s.objective, s.observedAt, s.ownView = msg.Objective, now, View{Zone: own}
	for _, p := range s.pairs {
		p.view = View{Zone: p.zone}
	}
	for _, v := range msg.Views {
		if v.Zone == own {
			s.ownView = v
			continue
		}
		p := s.pair(v.Zone)
		p.view, p.listedAt = v, now
	}
	s.pairs = slices.DeleteFunc(s.pairs, func(p *pair) bool { return p.share == 0 && now.Sub(p.listedAt) >= retention })
}

// pays reports whether more requests are to leave to a zone, and lowers its share if fewer are.
func (s *service) pays(p *pair) bool {
	objective, toll := float64(s.objective), float64(s.toll(p))
	own, other := float64(s.ownView.FirstByte), float64(p.view.FirstByte)+toll
	switch {
	case p.view.Warm == 0:
		p.fall(0, NoUpstream)
	case s.lost, s.objective <= 0:
		// All requests leave, or there is no objective to compare waits with.
		p.agreed = 0
	case own < relieved*objective:
		p.fall(fall, Relieved)
	case other > crowded*objective:
		p.fall(fall, Crowded)
	case own < other:
		p.fall(fall, NoGain)
	case own < strained*objective, other > room*objective, own-other < gain*objective, float64(p.view.Free) < minFree*float64(p.view.Slots):
		p.agreed = 0
	default:
		p.agreed++
		return p.agreed >= confirmations
	}
	return false
}

// fall multiplies the share by a factor.
func (p *pair) fall(factor float64, cause Cause) {
	p.agreed = 0
	if p.share == 0 {
		return
	}
	p.cause = cause
	if p.share *= factor; p.share < minShare {
		p.share = 0
	}
}

// forget drops the services that are not observed any more.
func (m *Model) forget(now time.Time) {
	maps.DeleteFunc(m.services, func(_ ident.ServiceName, s *service) bool {
		return !s.observedAt.IsZero() && now.Sub(s.observedAt) >= retention
	})
}

func (s *service) total() (share float64) {
	for _, p := range s.pairs {
		share += p.share
	}
	return share
}

// decay moves the estimates of a link without recent samples towards those before any.
func (l *link) decay(now time.Time, late float64) {
	if idle := now.Sub(l.seenAt); !l.seenAt.IsZero() && idle > memory {
		left := math.Exp2(-float64(idle-memory) / float64(halfLife))
		l.late, l.failures = late+(l.late-late)*left, l.failures*left
		l.seenAt = now.Add(-memory)
	}
}

// delay returns the extra time of the way to a zone. Answers of the own zone are late as well when their upstreams are
// busy, so only the difference counts.
func (s *service) delay(p *pair) time.Duration { return times.Duration(max(p.late-s.own.late, 0)) }

// toll returns the cost of the link to a zone: its delay, and the failures above those of the own zone.
func (s *service) toll(p *pair) time.Duration {
	return s.delay(p) + times.Duration(failurePrice*float64(s.objective)*max(p.failures-s.own.failures, 0))
}

// price returns the time that leaving to a zone must save.
func (s *service) price(p *pair) time.Duration {
	if s.lost {
		return s.toll(p)
	}
	stay := stayPrice * float64(s.objective) * (1 - min(s.total()/maxShare, 1))
	return s.toll(p) + times.Duration(stay)
}

// Price returns the time that leaving to a zone must save a request of a service. It is 0 for the own zone.
func (m *Model) Price(name ident.ServiceName, zone ident.Zone) time.Duration {
	if zone == m.zone {
		return 0
	}
	s, known := m.services[name]
	if !known {
		return defaultDelay
	}
	i, known := s.find(zone)
	if !known {
		return defaultDelay
	}
	return s.price(s.pairs[i])
}

// Permit returns the zone to which a request may leave because of the waits; ok is false if it is to stay. The answer for a
// ticket changes only with the shares, so that a queued request is not tried again until it may leave.
func (m *Model) Permit(name ident.ServiceName, ticket uint64) (zone ident.Zone, ok bool) {
	s, known := m.services[name]
	if !known {
		return "", false
	}
	at, to := m.hash(ticket), 0.0
	for _, p := range s.pairs {
		// Each share has a part of the range of its own.
		if to += p.share; at < to {
			return p.zone, true
		}
	}
	return "", false
}

// hash returns a number in [0, 1) for a ticket.
func (m *Model) hash(ticket uint64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], m.seed)
	binary.LittleEndian.PutUint64(key[8:], ticket)
	return float64(xxhash.Sum64(key[:])>>11) / (1 << 53)
}

// Spread returns a factor in (1/2, 1] for a ticket, by which the waits of different requests differ.
func (m *Model) Spread(ticket uint64) float64 { return 1 - m.hash(^ticket)/2 }

// Half reports whether a ticket is in the half of all that may leave when the own zone is expected to serve them late.
func (m *Model) Half(ticket uint64) bool { return m.hash(^ticket) < 0.5 }

// Toll returns what the link to the nearest other zone with upstreams costs a request of a service.
func (m *Model) Toll(name ident.ServiceName) (toll time.Duration) {
	toll = defaultDelay
	s, known := m.services[name]
	if !known {
		return toll
	}
	found := false
	for _, p := range s.pairs {
		if t := s.toll(p); p.view.Usable > 0 && (!found || t < toll) {
			toll, found = t, true
		}
	}
	return toll
}

// Lost reports whether the own zone has no upstream of a service that may get work, and another one has.
func (m *Model) Lost(name ident.ServiceName) bool {
	s, known := m.services[name]
	return known && s.lost
}

func (s *service) status(p *pair) Status {
	return Status{
		Zone: p.zone, Share: p.share, Price: s.price(p), Delay: s.delay(p), OwnFirstByte: s.ownView.FirstByte, FirstByte: p.view.FirstByte,
		Lost: s.lost, Cause: p.cause,
	}
}

// Statuses returns what is decided about a service, in the order of the zones.
func (m *Model) Statuses(name ident.ServiceName) (all []Status) {
	if s, known := m.services[name]; known {
		for _, p := range s.pairs {
			all = append(all, s.status(p))
		}
	}
	return all
}

// Services returns the services that are known, sorted.
func (m *Model) Services() []ident.ServiceName { return slices.Sorted(maps.Keys(m.services)) }

// Counts returns how many requests were sent where and why since the service is known, sorted.
func (m *Model) Counts() (counts []Count) {
	for name, s := range m.services {
		for to, requests := range s.sent {
			counts = append(counts, Count{name, to.zone, to.reason, requests})
		}
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Reason, b.Reason))
	})
	return counts
}
