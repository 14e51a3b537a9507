// Package sched decides about the requests of one entry: which upstream runs
// each, when it is sent again, and when it is refused.
package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
	"cicadavalve/core/rules"
)

// request is a caller's request that has no final answer yet.
type request struct {
	Request
	arrived time.Time
	// attempt numbers the sendings from 1; an event of an earlier one is ignored.
	attempt int
	// on is the upstream of the current attempt, or empty.
	on ident.UpstreamID
	// tried lists the upstreams of the failed attempts.
	tried []ident.UpstreamID
	// version is fixed by the first sending, so that an answer is never of two versions.
	version ident.Version
	// touched is true once an upstream may have run the request.
	touched bool
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
	versions    Versioner

	// rules is nil until the first version is in force; every request is refused before.
	rules     *rules.Set
	version   int64
	upstreams map[ident.UpstreamID]*upstream
	// order holds the ids of upstreams, sorted, so that decisions do not depend on map order.
	order      []ident.UpstreamID
	requests   map[ident.RequestID]*request
	candidates []route.Candidate
}

// NewModel is a scheduler without rules or upstreams.
func NewModel(options ...Option) *Model {
	m := &Model{upstreams: map[ident.UpstreamID]*upstream{}, requests: map[ident.RequestID]*request{}}
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
	switch msg := msg.(type) {
	case UpstreamsMsg:
		m.setUpstreams(msg)
	case LoadMsg:
		m.setLoad(msg)
	case UnreachableMsg:
		m.miss(msg)
	case RulesMsg:
		m.setRules(msg)
	case ArriveMsg:
		return m.arrive(now, msg)
	case EndMsg:
		m.end(msg.Request, msg.Attempt)
	case FailMsg:
		return m.fail(now, msg)
	case GoneMsg:
		return m.gone(msg)
	}
	return nil
}

func (m *Model) setUpstreams(msg UpstreamsMsg) {
	listed := map[ident.UpstreamID]bool{}
	for _, l := range msg.Upstreams {
		listed[l.ID] = true
		u, known := m.upstreams[l.ID]
		if !known || u.listed.Address != l.Address {
			u = &upstream{}
			m.upstreams[l.ID] = u
		}
		u.listed = l
	}
	maps.DeleteFunc(m.upstreams, func(id ident.UpstreamID, _ *upstream) bool { return !listed[id] })
	m.order = slices.Sorted(maps.Keys(m.upstreams))
}

func (m *Model) setLoad(msg LoadMsg) {
	if u, known := m.upstreams[msg.Upstream]; known {
		u.load, u.seen, u.misses = msg.Load, true, 0
	}
}

func (m *Model) miss(msg UnreachableMsg) {
	if u, known := m.upstreams[msg.Upstream]; known {
		u.misses++
	}
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
	m.requests[r.ID] = r
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

// giveUp ends a request with its final answer.
func (m *Model) giveUp(r *request, code Code, message string) []ident.Cmd {
	delete(m.requests, r.ID)
	return []ident.Cmd{r.refuse(code, message)}
}

func (m *Model) send(now time.Time, r *request) []ident.Cmd {
	m.collect(now, r, r.tried)
	if len(m.candidates) == 0 {
		m.collect(now, r, nil)
	}
	if len(m.candidates) == 0 {
		return m.giveUp(r, CodeNoUpstream, "no upstream can take the request now")
	}
	need := route.Need{
		Org: r.Org, Class: r.Class, Zone: m.zone, Version: r.version,
		PromptRoot: r.PromptRoot, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
	}
	chosen := m.candidates[m.policy.Pick(now, need, m.candidates)]
	u := m.upstreams[chosen.ID]
	u.outstanding++
	r.attempt++
	r.on = chosen.ID
	return []ident.Cmd{m.sendCmd(r, u)}
}

func (m *Model) sendCmd(r *request, u *upstream) SendCmd {
	return SendCmd{
		Request: r.ID, Attempt: r.attempt, Upstream: u.listed.ID, Address: u.listed.Address,
		Version: r.version, Priority: r.Class.Rank(), Class: r.Class, Silence: m.silence[r.Class],
		FreshConnection: r.attempt > 1,
	}
}

// collect fills candidates with the upstreams that may take the request.
func (m *Model) collect(now time.Time, r *request, avoid []ident.UpstreamID) {
	m.candidates = m.candidates[:0]
	for _, id := range m.order {
		u := m.upstreams[id]
		if m.eligible(now, u, r) && !slices.Contains(avoid, id) {
			m.candidates = append(m.candidates, u.candidate())
		}
	}
}

func (m *Model) eligible(now time.Time, u *upstream, r *request) bool {
	if !u.usable(now) || m.rules.Drained(u.listed.ID, u.listed.Zone) {
		return false
	}
	if r.Service != "" {
		return u.listed.Role == RoleApp && u.serves(r.Service)
	}
	return u.listed.Role == RoleEngine && u.holds(r.Model, r.version)
}

// release takes the current attempt off its upstream.
func (m *Model) release(r *request) {
	if u, known := m.upstreams[r.on]; known && u.outstanding > 0 {
		u.outstanding--
	}
	r.on = ""
}

func (m *Model) end(id ident.RequestID, attempt int) {
	r, known := m.requests[id]
	if !known || r.attempt != attempt {
		return
	}
	m.release(r)
	delete(m.requests, id)
}

func (m *Model) fail(now time.Time, msg FailMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	if u, listed := m.upstreams[r.on]; listed && msg.Cause != CauseRefused {
		u.suspectUntil = now.Add(suspectTime)
	}
	r.tried = append(r.tried, r.on)
	m.release(r)
	untouched := msg.Cause == CauseConnect || msg.Cause == CauseRefused
	r.touched = r.touched || !untouched
	if r.touched && !r.Repeatable {
		return m.giveUp(r, CodeOutcomeUnknown, "the upstream may have run the request")
	}
	if r.attempt >= m.maxAttempts {
		return m.giveUp(r, CodeUpstreamFailed, "every upstream that was tried failed")
	}
	return m.resend(now, r, msg.Delivered)
}

func (m *Model) resend(now time.Time, r *request, delivered int) []ident.Cmd {
	m.chooseAgain(r, delivered)
	cmds := m.send(now, r)
	if cmd, ok := cmds[0].(SendCmd); ok {
		cmd.ResumeFrom = delivered
		cmds[0] = cmd
	}
	return cmds
}

func (m *Model) gone(msg GoneMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known {
		return nil
	}
	cancel := CancelCmd{Request: r.ID, Attempt: r.attempt, Upstream: r.on}
	m.release(r)
	delete(m.requests, r.ID)
	return []ident.Cmd{cancel}
}

// Service reports whether the rules in force name a service, and whether its calls run at most once.
func (m *Model) Service(name ident.ServiceName) (once, known bool) {
	if m.rules == nil {
		return false, false
	}
	return m.rules.Service(name)
}
