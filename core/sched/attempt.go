package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// send starts an attempt on the best upstream. A suspect request is isolated, and without a candidate a
// request waits. A request is refused if it is quarantined, or if its first token would be late or its answer
// would miss its deadline.
func (m *Model) send(now time.Time, r *request) []ident.Cmd {
	switch m.poison.Standing(now, r.Digest) {
	case poison.Quarantined:
		return m.refuse(now, r, CodeQuarantined, "the request crashes the upstreams that run it")
	case poison.Suspect:
		return m.sendIsolated(now, r)
	}
	if !m.findCandidates(now, r) {
		return m.enqueue(now, r)
	}
	u, excess := m.selectUpstream(now, r)
	if excess > 0 {
		return m.refuseEarly(now, r, excess)
	}
	return []ident.Cmd{m.startAttempt(now, r, u)}
}

// startAttempt records an attempt on an upstream and returns the command that sends it.
func (m *Model) startAttempt(now time.Time, r *request, u *upstream) SendCmd {
	u.candidate.Outstanding++
	m.running[r.Org]++
	r.backlogTokens = max(0, r.PromptTokens-m.prompts.cachedTokens(r.key, u))
	u.candidate.Backlog += r.backlogTokens
	r.attempt++
	r.upstream, r.boot = u.listed.ID, u.load.BootID
	r.sentAt, r.startBacklog, r.firstTokenAt = now, u.candidate.Backlog, time.Time{}
	m.acquireSlot(now, r)
	return m.newSendCmd(now, r, u)
}

func (m *Model) newSendCmd(now time.Time, r *request, u *upstream) SendCmd {
	return SendCmd{
		Request: r.ID, Attempt: r.attempt, Upstream: u.listed.ID, Address: u.listed.Address,
		Version: r.version, Priority: m.rank(now, r), Class: r.Class, Silence: m.silenceTimeouts[r.Class],
		ResumeFrom: r.delivered, FreshConnection: r.attempt > 1,
	}
}

// release removes the current attempt from its upstream's counts. stopped is true if the upstream is known
// not to be running it.
func (m *Model) release(now time.Time, r *request, stopped bool) {
	m.slots.Release(now, r.ID, stopped)
	if u, known := m.upstreams[r.upstream]; known && u.candidate.Outstanding > 0 {
		u.candidate.Outstanding--
		u.settleBacklog(r)
	}
	if r.upstream != "" {
		m.decrementRunning(r.Org)
	}
	r.upstream = ""
}

// decrementRunning removes one request from an organisation's count of requests in flight.
func (m *Model) decrementRunning(org ident.OrgID) {
	m.running[org]--
	if m.running[org] <= 0 {
		delete(m.running, org)
	}
}

func (m *Model) handleEnd(now time.Time, msg EndMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	m.slots.CountSuccess(now, r.upstream)
	if !r.firstTokenAt.IsZero() && !m.lag.laggedSince(now, r.firstTokenAt) {
		m.paceOf(r).observeEnd(r.MaxTokens-r.delivered, now.Sub(r.firstTokenAt))
	}
	m.release(now, r, true)
	m.budgets.RecordSuccess(r.Org)
	delete(m.requests, r.ID)
	return append(m.endTrial(now, r), m.poison.ObserveAnswer(now, r.Digest)...)
}

// handleFirst records the first token of an attempt: its prompt is computed and now cached on the upstream.
func (m *Model) handleFirst(now time.Time, msg FirstMsg) {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return
	}
	if !m.lag.laggedSince(now, r.sentAt) {
		m.paceOf(r).observeFirstToken(r.startBacklog, now.Sub(r.sentAt))
	}
	r.firstTokenAt = now
	if u, listed := m.upstreams[r.upstream]; listed {
		u.settleBacklog(r)
		if u.load.BootID == r.boot {
			m.prompts.add(r.key, u, r.PromptTokens)
		}
	}
}

func (m *Model) handleGone(now time.Time, msg GoneMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known {
		return nil
	}
	cancel := CancelCmd{Request: r.ID, Attempt: r.attempt, Upstream: r.upstream}
	m.release(now, r, false)
	delete(m.requests, r.ID)
	return append(m.endTrial(now, r), cancel)
}
