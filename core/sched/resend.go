package sched

import (
	"time"

	"cicadavalve/core/ident"
)

// fail ends an attempt and sends the request again where that is allowed.
func (m *Model) fail(now time.Time, msg FailMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	if m.excused(now, r, msg.Cause) {
		return m.excuse(now, r, msg)
	}
	if u, listed := m.upstreams[r.on]; listed && msg.Cause != CauseRefused {
		u.suspectUntil, u.special = now.Add(suspectTime), true
	}
	if msg.Cause == CauseSilent && r.firstAt.IsZero() {
		m.paceOf(r).sawFirst(r.queued, now.Sub(r.sent))
	}
	r.tried = append(r.tried, r.on)
	r.delivered = msg.Delivered
	cmds := m.lost(now, r, msg.Cause)
	m.doubt(now, r, msg.Cause)
	m.release(now, r, msg.Cause == CauseConnect || msg.Cause == CauseRefused)
	cmds = append(cmds, m.endTrial(r)...)
	return append(m.afterFail(now, r, msg.Cause), cmds...)
}

// excuse ends an attempt without a sign against its upstream, and sends the request again at no cost.
func (m *Model) excuse(now time.Time, r *request, msg FailMsg) []ident.Cmd {
	r.delivered = msg.Delivered
	r.touched = true
	m.release(now, r, false)
	cmds := m.endTrial(r)
	if !r.Repeatable {
		return append(m.giveUp(now, r, CodeOutcomeUnknown, "the upstream may have run the request"), cmds...)
	}
	r.moves++
	r.excuses++
	m.chooseAgain(r)
	return append(m.send(now, r), cmds...)
}

// afterFail sends the request again or gives it up.
func (m *Model) afterFail(now time.Time, r *request, cause Cause) []ident.Cmd {
	untouched := cause == CauseConnect || cause == CauseRefused
	r.touched = r.touched || !untouched
	switch {
	case r.touched && !r.Repeatable:
		return m.giveUp(now, r, CodeOutcomeUnknown, "the upstream may have run the request")
	case r.attempt-r.moves >= m.maxAttempts:
		return m.giveUp(now, r, CodeUpstreamFailed, "every upstream that was tried failed")
	case !m.budgets.Withdraw(now, r.Org):
		return m.giveUp(now, r, CodeUpstreamFailed, "the organisation's retry budget is spent")
	}
	m.chooseAgain(r)
	return m.send(now, r)
}

// find fills candidates with the upstreams of the highest trust that there are, and among
// them with those that the request has not tried where there are any.
func (m *Model) find(now time.Time, r *request) bool {
	for least := trusted; least >= unreachable; least-- {
		m.collect(now, r, r.tried, least)
		if len(m.candidates) == 0 && len(r.tried) > 0 {
			m.collect(now, r, nil, least)
		}
		if len(m.candidates) > 0 {
			return true
		}
	}
	return false
}

// giveUp ends a request with its final answer at once, and tells when to come back.
func (m *Model) giveUp(now time.Time, r *request, code Code, message string) []ident.Cmd {
	delete(m.requests, r.ID)
	refusal := r.refuse(code, message)
	refusal.RetryAfter = m.budgets.Backoff(now, r.Org, m.rng)
	return append([]ident.Cmd{refusal}, m.endTrial(r)...)
}
