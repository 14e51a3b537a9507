// Package sched decides about the requests of one entry: which upstream runs
// each, when it is sent again, and when it is refused.
package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/poison"
	"cicadavalve/core/retry"
	"cicadavalve/core/route"
	"cicadavalve/core/rules"
)

// request is a caller's request that has no final answer yet.
type request struct {
	Request
	arrived time.Time
	// attempt numbers the sendings from 1; an event of an earlier one is ignored.
	attempt int
	// moves counts the attempts that were moved rather than failed.
	moves int
	// excuses counts the moves of which this entry's own lateness was the reason; at most maxAttempts.
	excuses int
	// on is the upstream of the current attempt, or empty.
	on ident.UpstreamID
	// sent is when the current attempt began.
	sent time.Time
	// key names the kept context that the request may find.
	key uint64
	// missing is the prompt tokens that the current attempt adds to its upstream's backlog.
	missing int
	// tried lists the upstreams of the failed attempts.
	tried []ident.UpstreamID
	// version is fixed by the first sending, so that an answer is never of two versions.
	version ident.Version
	// confirming is true once the members were asked about the losses before the trial, confirmed once they know.
	confirming, confirmed bool
	// touched is true once an upstream may have run the request.
	touched bool
	// delivered counts the tokens that the caller has.
	delivered int
	// reserved is the upstream held for a suspect request, and alone is true while it runs there.
	reserved ident.UpstreamID
	alone    bool
	// aloneSince is when the request first waited for an upstream of its own.
	aloneSince time.Time
	// trial is the one asked for since trialSince; its id is empty where there is none.
	trial      poison.TrialBody
	trialSince time.Time
	// trials counts the trials asked for.
	trials int
	// waitSince is when the request began to wait for room on an upstream.
	waitSince time.Time
	// preempted counts how often it was taken off an upstream for a more urgent request.
	preempted int
	// queued is the backlog in prompt tokens that the attempt began with, its own included, and
	// firstAt when its first token came.
	queued  int
	firstAt time.Time
}

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

func (m *Model) setUpstreams(now time.Time, msg UpstreamsMsg) {
	listed := map[ident.UpstreamID]bool{}
	for _, l := range msg.Upstreams {
		listed[l.ID] = true
		u, known := m.upstreams[l.ID]
		if !known || u.listed.Address != l.Address {
			u = &upstream{special: true, candidate: route.Candidate{ID: l.ID, Hash: route.HashID(l.ID)}}
			m.upstreams[l.ID] = u
		}
		u.listed = l
		u.candidate.Zone = l.Zone
	}
	for _, id := range m.order {
		if !listed[id] {
			m.slots.Forget(now, id)
			delete(m.upstreams, id)
		}
	}
	m.order = slices.Sorted(maps.Keys(m.upstreams))
	m.pools = nil
	m.listed = true
}

func (m *Model) setLoad(now time.Time, msg LoadMsg) []ident.Cmd {
	u, known := m.upstreams[msg.Upstream]
	if !known {
		return nil
	}
	if u.misses >= outageMisses {
		u.backSince, u.special = now, true
	}
	if !u.seen || !slices.Equal(u.load.Loaded, msg.Load.Loaded) {
		m.pools = nil
	}
	u.special = u.special || u.load.BootID != msg.Load.BootID
	m.slots.Seen(now, msg.Upstream, msg.Load.BootID)
	u.load, u.seen, u.misses = msg.Load, true, 0
	u.report(msg.Load)
	return m.poison.Seen(now, msg.Upstream, msg.Load.BootID)
}

func (m *Model) miss(now time.Time, msg UnreachableMsg) []ident.Cmd {
	u, known := m.upstreams[msg.Upstream]
	if !known || m.lateness.within(now, now.Add(-msg.Waited)) {
		return nil
	}
	u.misses++
	u.special = true
	if u.misses < probeMisses {
		return nil
	}
	m.slots.Doubt(now, msg.Upstream)
	return m.poison.Unreachable(now, msg.Upstream)
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

func (r *request) refuse(code Code, message string) RefuseCmd {
	return RefuseCmd{Request: r.ID, Code: code, Message: message, NotRun: !r.touched, RetryAfter: retryAfter}
}

func (m *Model) send(now time.Time, r *request) []ident.Cmd {
	switch m.poison.Standing(now, r.Digest) {
	case poison.Quarantined:
		return m.giveUp(now, r, CodeQuarantined, "the request crashes the upstreams that run it")
	case poison.Suspect:
		return m.sendAlone(now, r)
	}
	if !m.find(now, r) {
		return m.wait(now, r)
	}
	u, over := m.place(now, r)
	if over > 0 {
		return m.refuseEarly(now, r, over)
	}
	return []ident.Cmd{m.start(now, r, u)}
}

// start begins an attempt on an upstream.
func (m *Model) start(now time.Time, r *request, u *upstream) SendCmd {
	u.candidate.Outstanding++
	m.running[r.Org]++
	r.missing = max(0, r.PromptTokens-m.kept.tokens(r.key, u))
	u.candidate.Backlog += r.missing
	r.attempt++
	r.on = u.listed.ID
	r.sent, r.queued, r.firstAt = now, u.candidate.Backlog, time.Time{}
	m.acquire(now, r)
	return m.sendCmd(now, r, u)
}

func (m *Model) sendCmd(now time.Time, r *request, u *upstream) SendCmd {
	return SendCmd{
		Request: r.ID, Attempt: r.attempt, Upstream: u.listed.ID, Address: u.listed.Address,
		Version: r.version, Priority: m.rank(now, r), Class: r.Class, Silence: m.silence[r.Class],
		ResumeFrom: r.delivered, FreshConnection: r.attempt > 1,
	}
}

// release takes the current attempt off its upstream; ended is true where the upstream is known not to run it.
func (m *Model) release(now time.Time, r *request, ended bool) {
	m.slots.Release(now, r.ID, ended)
	if u, known := m.upstreams[r.on]; known && u.candidate.Outstanding > 0 {
		u.candidate.Outstanding--
		u.settle(r)
	}
	if r.on != "" {
		m.forgetRunning(r.Org)
	}
	r.on = ""
}

// forgetRunning takes a request off its organisation's count.
func (m *Model) forgetRunning(org ident.OrgID) {
	m.running[org]--
	if m.running[org] <= 0 {
		delete(m.running, org)
	}
}

func (m *Model) end(now time.Time, msg EndMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	m.slots.Succeeded(now, r.on)
	if !r.firstAt.IsZero() && !m.lateness.within(now, r.firstAt) {
		m.paceOf(r).sawEnd(r.MaxTokens-r.delivered, now.Sub(r.firstAt))
	}
	m.release(now, r, true)
	m.budgets.Succeeded(r.Org)
	delete(m.requests, r.ID)
	return m.endTrial(r)
}

// first notes that the prompt of an attempt is computed.
func (m *Model) first(now time.Time, msg FirstMsg) {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return
	}
	if !m.lateness.within(now, r.sent) {
		m.paceOf(r).sawFirst(r.queued, now.Sub(r.sent))
	}
	r.firstAt = now
	if u, listed := m.upstreams[r.on]; listed {
		u.settle(r)
		m.kept.add(r.key, u, r.PromptTokens)
	}
}

func (m *Model) gone(now time.Time, msg GoneMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known {
		return nil
	}
	cancel := CancelCmd{Request: r.ID, Attempt: r.attempt, Upstream: r.on}
	m.release(now, r, false)
	delete(m.requests, r.ID)
	return append(m.endTrial(r), cancel)
}

// Service reports whether the rules in force name a service, and whether its calls run at most once.
func (m *Model) Service(name ident.ServiceName) (once, known bool) {
	if m.rules == nil {
		return false, false
	}
	return m.rules.Service(name)
}
