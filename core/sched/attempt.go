package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

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
