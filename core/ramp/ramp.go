// Package ramp moves a service's requests to another software release and takes it back if it is bad.
//
// While a release is on test, each entry sends it a small share of the requests of each route, chosen so that the sum over
// all entries stays within the bound whatever the others do. Its answers are compared with those of the old release at the
// same time and on the same route. All entries share their counts, and each of them can take the release back at
// once. Shortly before the deadline the entry that holds the duty raises the share in steps, and reports the roll-out
// as done when no request is left at the old upstreams.
package ramp

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// Limits bound the requests to a bad release.
type Limits struct {
	// Share and Slack bound the requests to a bad release until the deadline: a share of all requests to the service and
	// a number.
	Share, Slack float64
}

// Model holds one entry's view of the roll-outs of all services. Its methods aren't safe for concurrent use.
type Model struct {
	limits   Limits
	rng      *rand.Rand
	services map[ident.ServiceName]*service
	// recorded holds the states in the store that were read at the start; it is nil before.
	recorded map[ident.ServiceName]Recorded
	attempts map[uint64]*attempt
	// breaks holds the attempts that broke off and are not counted yet.
	breaks []brokenAttempt
	// entries is the number of entries that are alive, this one included.
	entries int
}

// service is the part of a [Model] for one service.
type service struct {
	run *run
	// barred holds the releases that get no requests: those rolled back, replaced, or whose roll-out was cut short.
	barred map[Release]bool
	// listed holds when each release was first seen.
	listed map[Release]time.Time
	// born holds when the first listed upstream of each release started, by the clock of upstreams.
	born map[Release]time.Time
	pace pace
	// brokeAt holds when an attempt last broke off at each upstream.
	brokeAt map[ident.UpstreamID]time.Time
}

// attempt is an attempt under way.
type attempt struct {
	Attempt
	sentAt time.Time
	isNew  bool
	run    *run
	// loaded is set if the upstream may have much more load than the old ones have.
	loaded bool
	// first is set once the first byte has come, slowFirst and slowWhole once the attempt was counted as slow.
	first, slowFirst, slowWhole bool
	// overdueAt is when it was first found to be slow while it still waits for the first byte, or then for the last one; zero before.
	overdueAt time.Time
}

// brokenAttempt is an attempt that broke off at a time.
type brokenAttempt struct {
	*attempt
	at time.Time
}

// run is a roll-out.
type run struct {
	service ident.ServiceName
	target  Release
	within  time.Duration
	since   time.Time
	// guessed is set if since is not known.
	guessed bool
	step    int
	stepAt  time.Time
	// oldAt is when an upstream of another release was last listed.
	oldAt   time.Time
	verdict Verdict
	// loadedUntil is until when upstreams may have much load from loadStep.
	loadedUntil time.Time
	// written is the newest state known to be in the store; writing is when it was last tried to record another.
	written State
	writing time.Time
	share   share
	own     map[string]*Cell
	// others holds the newest report of each other entry.
	others map[string]Report
	// heardAt holds when each of them was last heard.
	heardAt map[string]time.Time
	judge   judge
}

// NewModel returns a model without roll-outs.
//
//	m := ramp.NewModel(ramp.Limits{Share: 0.1, Slack: 50}, rng)
//	m.Update(now, ramp.OrderMsg{Service: "chat", Target: "v2", Within: time.Minute, Since: now})
//	sampled := m.Pick(now, "chat", "route")
func NewModel(limits Limits, rng *rand.Rand) *Model {
	return &Model{limits: limits, rng: rng, services: map[ident.ServiceName]*service{}, attempts: map[uint64]*attempt{}, entries: 1}
}

func (m *Model) service(name ident.ServiceName) *service {
	s, known := m.services[name]
	if !known {
		s = &service{barred: map[Release]bool{}, listed: map[Release]time.Time{}, born: map[Release]time.Time{}, pace: newPace(), brokeAt: map[ident.UpstreamID]time.Time{}}
		m.services[name] = s
	}
	return s
}

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case OrderMsg:
		m.order(now, msg)
	case EndedMsg:
		m.end(msg.Service)
	case StatesMsg:
		m.load(msg.States)
	case LostMsg:
		for _, r := range m.runs() {
			r.written = ""
		}
	case RecordedMsg:
		m.confirm(msg)
	case SentMsg:
		m.sent(now, msg.Attempt)
	case FirstByteMsg:
		m.firstByte(now, msg.ID)
	case EndMsg:
		m.ended(now, msg)
	case ReportMsg:
		return m.hear(now, msg)
	case TickMsg:
		return m.tick(now, msg)
	}
	return nil
}

// order begins a roll-out. One to another target that has not ended is cut short.
func (m *Model) order(now time.Time, msg OrderMsg) {
	s := m.service(msg.Service)
	if r := s.run; r != nil && r.target == msg.Target {
		r.within = msg.Within
		if r.verdict != Undecided {
			r.written = ""
		}
		return
	}
	m.end(msg.Service)
	delete(s.barred, msg.Target)
	since, guessed := msg.Since, msg.Since.IsZero()
	if guessed {
		since = now
	}
	s.run = &run{
		service: msg.Service, target: msg.Target, within: msg.Within, since: since, guessed: guessed, stepAt: now, oldAt: now, share: newShare(m.rng),
		own: map[string]*Cell{}, others: map[string]Report{}, heardAt: map[string]time.Time{}, judge: newJudge(),
	}
	s.run.estimate(now, s.born)
	m.recall(s.run)
}

// estimate takes the start of the first upstream of the target for the time of an order that was given before this process
// started. A target that had upstreams long before says nothing.
func (r *run) estimate(now time.Time, born map[Release]time.Time) {
	if r == nil || !r.guessed {
		return
	}
	if first, known := born[r.target]; known && first.Before(r.since) && now.Sub(first) < r.within {
		r.since = first
	}
}

// end forgets a roll-out whose order was removed or replaced. A release that was not judged gets no more requests.
func (m *Model) end(name ident.ServiceName) {
	s := m.service(name)
	if s.run != nil && s.run.verdict != Done {
		s.barred[s.run.target] = true
	}
	s.run = nil
}

// load applies the states in the store.
func (m *Model) load(states []Recorded) {
	m.recorded = map[ident.ServiceName]Recorded{}
	for _, s := range states {
		m.recorded[s.Service] = s
	}
	for _, r := range m.runs() {
		m.recall(r)
	}
}

// recall applies the state in the store to a roll-out that this process has just learned of.
func (m *Model) recall(r *run) {
	known, ok := m.recorded[r.service]
	if !ok || known.Target != r.target {
		return
	}
	delete(m.recorded, r.service)
	r.written = known.State
	switch known.State {
	case StateDone:
		m.decide(r, Done)
	case StateRolledBack:
		m.decide(r, RolledBack)
	}
}

// decide sets the verdict of a roll-out unless a higher one was reached.
func (m *Model) decide(r *run, v Verdict) (changed bool) {
	if v <= r.verdict {
		return false
	}
	r.verdict = v
	s := m.service(r.service)
	if v == RolledBack {
		s.barred[r.target] = true
		return true
	}
	delete(s.barred, r.target)
	for release := range s.listed {
		if release != r.target {
			s.barred[release] = true
		}
	}
	return true
}

// confirm notes whether a state is in the store.
func (m *Model) confirm(msg RecordedMsg) {
	r := m.service(msg.Recorded.Service).run
	if r == nil || r.target != msg.Recorded.Target {
		return
	}
	if !msg.Failed {
		r.written = msg.Recorded.State
		r.writing = time.Time{}
	}
}

// runs returns the roll-outs, sorted by service.
func (m *Model) runs() (runs []*run) {
	for _, s := range m.services {
		if s.run != nil {
			runs = append(runs, s.run)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.service, b.service) })
	return runs
}

// Services lists the services with a roll-out.
func (m *Model) Services() (names []ident.ServiceName) {
	for _, r := range m.runs() {
		names = append(names, r.service)
	}
	return names
}

// isNew reports whether a release is the one that a roll-out moves to.
func (r *run) isNew(release Release) bool { return r != nil && r.target == release }

// age is the time since the order.
func (r *run) age(now time.Time) time.Duration { return now.Sub(r.since) }
