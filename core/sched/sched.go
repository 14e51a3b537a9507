// Package sched schedules the requests of one entry: which upstream runs each,
// when it is resent, and when it is refused.
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
	zone            ident.Zone
	rng             *rand.Rand
	policyName      string
	policy          route.Policy
	maxAttempts     int
	silenceTimeouts map[ident.Class]time.Duration
	// budgets limits the retries of each organisation.
	budgets *retry.Budgets
	// lag detects when this entry itself was short of processor time.
	lag    lagTracker
	poison *poison.Model
	// parked lists the suspect requests that wait for a reserved upstream, oldest first.
	parked []ident.RequestID
	// waiting lists the requests that wait for capacity on an upstream. From maxWaiting on, new ones are refused.
	waiting []ident.RequestID
	// waitLimits is how long a request of each class may wait.
	waitLimits map[ident.Class]time.Duration
	// running counts the requests in flight by organisation; it has no zero entries.
	running map[ident.OrgID]int
	// maxPerUpstream bounds the requests on one upstream.
	maxPerUpstream int
	versions       Versioner

	// rules is nil until the first version arrives; until then every request is refused.
	rules        *rules.Set
	rulesVersion int64
	upstreams    map[ident.UpstreamID]*upstream
	// order holds the sorted keys of upstreams, so that decisions do not depend on map order.
	order []ident.UpstreamID
	// listReceived is true once an upstream list has arrived.
	listReceived bool
	requests     map[ident.RequestID]*request
	// pools caches the open upstreams by what they serve; nil when stale.
	pools map[poolKey][]*upstream
	// prompts records which upstreams computed each prompt.
	prompts *promptIndex
	// candidates is the result of the last collectCandidates; the slice is reused.
	candidates []*route.Candidate
	// slots limits the requests on cold upstreams.
	slots *limit.Slots
	// paces holds the measured speed of each pool.
	paces map[poolKey]*pace
	// firstTokenLimits is the longest useful time from arrival to first token by class.
	firstTokenLimits map[ident.Class]time.Duration
	// lastArrival is the time of each organisation's last request; overShare deletes expired ones.
	lastArrival map[ident.OrgID]time.Time
}

// NewModel returns a scheduler without rules or upstreams.
func NewModel(options ...Option) *Model {
	m := &Model{upstreams: map[ident.UpstreamID]*upstream{}, requests: map[ident.RequestID]*request{}, prompts: newPromptIndex()}
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

// RulesVersion returns the version of the rules in force, or 0 before the first.
func (m *Model) RulesVersion() int64 { return m.rulesVersion }

// InFlight counts the requests without a final answer.
func (m *Model) InFlight() int { return len(m.requests) }

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	cmds := m.update(now, msg)
	if len(m.parked) > 0 {
		cmds = append(cmds, m.retryParked(now)...)
	}
	if len(m.waiting) > 0 {
		cmds = append(cmds, m.admitWaiting(now)...)
		cmds = append(cmds, m.preempt(now)...)
	}
	return append(cmds, m.slots.TakeAsks()...)
}

func (m *Model) update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case limit.MembersMsg, limit.LeaseMsg, limit.SettledMsg:
		return m.slots.Update(now, msg)
	case UpstreamsMsg:
		m.setUpstreams(now, msg)
		m.updateClosed(now)
	case LoadMsg:
		return m.setLoad(now, msg)
	case UnreachableMsg:
		return m.handleUnreachable(now, msg)
	case UnreachedMsg:
		return m.handleUnreached(now, msg)
	case RulesMsg:
		m.setRules(msg)
		m.updateClosed(now)
		return m.liftQuarantines(now)
	case ArriveMsg:
		return m.handleArrive(now, msg)
	case FirstMsg:
		m.handleFirst(now, msg)
	case EndMsg:
		return m.handleEnd(now, msg)
	case FailMsg:
		return m.handleFail(now, msg)
	case WakeMsg:
		m.assumeAllCold()
	case TickMsg:
		return m.handleTick(now)
	case GoneMsg:
		return m.handleGone(now, msg)
	case ConfirmedMsg:
		m.handleConfirmed(msg)
	case ledger.BatchMsg:
		m.poison.Fold(now, msg)
	}
	return nil
}

// handleTick runs the periodic work. Update itself checks the parked and waiting requests.
func (m *Model) handleTick(now time.Time) (cmds []ident.Cmd) {
	m.lag.observeTick(now)
	cmds = append(cmds, m.poison.Tick(now)...)
	cmds = append(cmds, m.liftQuarantines(now)...)
	cmds = append(cmds, m.moveOffClosed(now)...)
	return append(cmds, m.resendOverdue(now)...)
}

// setRules applies a newer version of the rules; it ignores older ones and those that do not parse.
func (m *Model) setRules(msg RulesMsg) {
	if msg.Version <= m.rulesVersion {
		return
	}
	set, faults := rules.Parse(msg.Text)
	if len(faults) > 0 {
		return
	}
	m.rules, m.rulesVersion = set, msg.Version
}

// handleArrive resolves a new request and sends it.
func (m *Model) handleArrive(now time.Time, msg ArriveMsg) []ident.Cmd {
	r := &request{Request: msg.Request, arrivedAt: now}
	if refusal, refused := m.resolve(r); refused {
		return []ident.Cmd{refusal}
	}
	r.key = route.Key(r.Org, r.version, r.PromptRoot)
	m.requests[r.ID] = r
	m.lastArrival[r.Org] = now
	return m.send(now, r)
}

// resolve sets a completion's class and version from the rules. It returns a refusal if no rule names the
// model or service.
func (m *Model) resolve(r *request) (refusal RefuseCmd, refused bool) {
	if m.rules == nil {
		return r.refusal(CodeNotReady, "no configuration is in force yet"), true
	}
	if r.Service != "" {
		_, known := m.rules.Service(r.Service)
		return r.refusal(CodeUnknownService, "no rule names this service"), !known
	}
	class, known := m.rules.ModelClass(r.Model)
	if r.Class == "" {
		r.Class = class
	}
	r.version = m.chooseVersion(r)
	if !known || r.version == "" {
		return r.refusal(CodeUnknownModel, "no rule routes and serves this model"), true
	}
	return refusal, false
}

// Service reports whether the rules in force name a service (known), and whether its calls run at most once.
func (m *Model) Service(name ident.ServiceName) (once, known bool) {
	if m.rules == nil {
		return false, false
	}
	return m.rules.Service(name)
}
