// Package sched decides about the requests of one entry: which upstream runs
// each, when it is sent again, and when it is refused.
package sched

import (
	"math/rand/v2"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/poison"
	"cicadavalve/core/retry"
	"cicadavalve/core/route"
	"cicadavalve/core/rules"
)

// Model is the scheduler of one entry.
//
//	m := sched.NewModel(sched.WithSeed(7), sched.WithZone("dunedin"))
//	cmds := m.Update(now, sched.ArriveMsg{Request: req})
type Model struct {
	zone        ident.Zone
	rng         *rand.Rand
	policyName  string
	policy      route.Policy
	maxAttempts int
	silence     map[ident.Class]time.Duration
	// budgets bounds the attempts beyond the first, per organisation.
	budgets *retry.Budgets
	// lateness tells when this entry itself was short of processor time.
	lateness lateness
	poison   *poison.Model
	// parked lists the suspect requests that wait for an upstream of their own, the oldest first.
	parked []ident.RequestID
	// waiting lists the requests that wait for room on an upstream; at most mostWaiting.
	waiting []ident.RequestID
	// waits is how long a request of a class may wait.
	waits map[ident.Class]time.Duration
	// running counts the requests in flight by organisation; it holds no zero.
	running map[ident.OrgID]int
	// mostPerUpstream bounds the requests on one upstream.
	mostPerUpstream int
	versions        Versioner

	// rules is nil until the first version is in force; every request is refused before.
	rules     *rules.Set
	version   int64
	upstreams map[ident.UpstreamID]*upstream
	// order holds the ids of upstreams, sorted, so that decisions do not depend on map order.
	order []ident.UpstreamID
	// listed is true once a list has come.
	listed   bool
	requests map[ident.RequestID]*request
	// pools holds the open upstreams by what they serve; nil until it is needed.
	pools map[poolKey][]*upstream
	// kept remembers where this entry sent each prompt.
	kept       *kept
	candidates []*route.Candidate
	// slots bound the requests on cold upstreams.
	slots *limit.Slots
	// paces holds how fast each pool has been.
	paces map[poolKey]*pace
	// firstLimits is by when after its arrival the first token of a class is of use.
	firstLimits map[ident.Class]time.Duration
	// asked is when each organisation asked last.
	asked map[ident.OrgID]time.Time
}

// NewModel is a scheduler without rules or upstreams.
func NewModel(options ...Option) *Model {
	m := &Model{upstreams: map[ident.UpstreamID]*upstream{}, requests: map[ident.RequestID]*request{}, kept: newKept()}
	m.slots = limit.NewSlots(limit.DefaultTiming())
	m.setDefaults()
	for _, o := range options {
		o(m)
	}
	m.policy = route.New(m.policyName, m.rng)
	if m.policy == nil {
		m.policy = route.New(route.NameAffinity, m.rng)
	}
	return m
}

// RulesVersion is the version of the operator's file in force, or 0.
func (m *Model) RulesVersion() int64 { return m.version }

// InFlight counts the requests without a final answer.
func (m *Model) InFlight() int { return len(m.requests) }

// Update takes a message and returns the commands that follow from it.
func (m *Model) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	cmds := m.update(now, msg)
	if len(m.parked) > 0 {
		cmds = append(cmds, m.wake(now)...)
	}
	if len(m.waiting) > 0 {
		cmds = append(cmds, m.admitWaiting(now)...)
		cmds = append(cmds, m.preempt(now)...)
	}
	return append(cmds, m.slots.Asks()...)
}

func (m *Model) update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case limit.MembersMsg, limit.LeaseMsg, limit.SettledMsg:
		return m.slots.Update(now, msg)
	case UpstreamsMsg:
		m.setUpstreams(now, msg)
		m.noteClosed(now)
	case LoadMsg:
		return m.setLoad(now, msg)
	case UnreachableMsg:
		return m.miss(now, msg)
	case RulesMsg:
		m.setRules(msg)
		m.noteClosed(now)
		return m.liftQuarantines()
	case ArriveMsg:
		return m.arrive(now, msg)
	case FirstMsg:
		m.first(now, msg)
	case EndMsg:
		return m.end(now, msg)
	case FailMsg:
		return m.fail(now, msg)
	case WakeMsg:
		m.distrustReports()
	case TickMsg:
		return m.tick(now)
	case GoneMsg:
		return m.gone(now, msg)
	case ConfirmedMsg:
		m.confirmed(msg)
	case ledger.BatchMsg:
		m.poison.Fold(now, msg)
	}
	return nil
}

// tick lets time pass.
func (m *Model) tick(now time.Time) (cmds []ident.Cmd) {
	m.lateness.ticked(now)
	cmds = append(cmds, m.poison.Tick(now)...)
	cmds = append(cmds, m.liftQuarantines()...)
	cmds = append(cmds, m.move(now)...)
	return append(cmds, m.yield(now)...)
}

// setRules never goes back to an older version.
func (m *Model) setRules(msg RulesMsg) {
	if msg.Version <= m.version {
		return
	}
	set, faults := rules.Parse(msg.Text)
	if len(faults) > 0 {
		return
	}
	m.rules, m.version = set, msg.Version
}

func (m *Model) arrive(now time.Time, msg ArriveMsg) []ident.Cmd {
	r := &request{Request: msg.Request, arrived: now}
	if refusal, refused := m.admit(r); refused {
		return []ident.Cmd{refusal}
	}
	r.key = route.Key(r.Org, r.version, r.PromptRoot)
	m.requests[r.ID] = r
	m.asked[r.Org] = now
	return m.send(now, r)
}

// admit refuses what no rule names.
func (m *Model) admit(r *request) (refusal RefuseCmd, refused bool) {
	if m.rules == nil {
		return r.refuse(CodeNotReady, "no configuration is in force yet"), true
	}
	if r.Service != "" {
		_, known := m.rules.Service(r.Service)
		return r.refuse(CodeUnknownService, "no rule names this service"), !known
	}
	class, known := m.rules.ModelClass(r.Model)
	if r.Class == "" {
		r.Class = class
	}
	r.version = m.chooseVersion(r)
	if !known || r.version == "" {
		return r.refuse(CodeUnknownModel, "no rule routes and serves this model"), true
	}
	return refusal, false
}

// Service reports whether the rules in force name a service, and whether its calls run at most once.
func (m *Model) Service(name ident.ServiceName) (once, known bool) {
	if m.rules == nil {
		return false, false
	}
	return m.rules.Service(name)
}
