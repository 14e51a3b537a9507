package sched

import (
	"time"

	"cicadavalve/core/ident"
)

// handleFail ends a failed attempt and resends the request if that is allowed.
func (m *Model) handleFail(now time.Time, msg FailMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	if m.causedByLag(now, r, msg.Cause) {
		return m.resendAfterLag(now, r, msg)
	}
	if u, listed := m.upstreams[r.upstream]; listed && msg.Cause != CauseRefused {
		u.suspectUntil, u.restricted = now.Add(suspectTTL), true
	}
	if msg.Cause == CauseSilent && r.firstTokenAt.IsZero() {
		m.paceOf(r).observeFirstToken(r.startBacklog, now.Sub(r.sentAt))
	}
	r.tried = append(r.tried, r.upstream)
	r.delivered = msg.Delivered
	cmds := m.recordLoss(now, r, msg.Cause)
	m.assumeCold(now, r, msg.Cause)
	m.release(now, r, msg.Cause == CauseConnect || msg.Cause == CauseRefused)
	cmds = append(cmds, m.endTrial(now, r)...)
	return append(m.retryOrRefuse(now, r, msg.Cause), cmds...)
}

// resendAfterLag ends an attempt without blaming its upstream. A repeatable request is resent without counting
// as a retry; any other is refused.
func (m *Model) resendAfterLag(now time.Time, r *request, msg FailMsg) []ident.Cmd {
	r.delivered = msg.Delivered
	r.mayHaveRun = true
	m.release(now, r, false)
	cmds := m.endTrial(now, r)
	if !r.Repeatable {
		return append(m.refuse(now, r, CodeOutcomeUnknown, "the upstream may have run the request"), cmds...)
	}
	r.moves++
	r.lagResends++
	m.chooseRetryVersion(r)
	return append(m.send(now, r), cmds...)
}

// retryOrRefuse resends a request within its attempts and its organisation's retry budget, or refuses it.
func (m *Model) retryOrRefuse(now time.Time, r *request, cause Cause) []ident.Cmd {
	notRun := cause == CauseConnect || cause == CauseRefused
	r.mayHaveRun = r.mayHaveRun || !notRun
	switch {
	case r.mayHaveRun && !r.Repeatable:
		return m.refuse(now, r, CodeOutcomeUnknown, "the upstream may have run the request")
	case r.attempt-r.moves >= m.maxAttempts:
		return m.refuse(now, r, CodeUpstreamFailed, "every upstream that was tried failed")
	case !m.budgets.Withdraw(now, r.Org):
		return m.refuse(now, r, CodeUpstreamFailed, "the organisation's retry budget is spent")
	}
	m.chooseRetryVersion(r)
	return m.send(now, r)
}

// findCandidates sets m.candidates to the available upstreams of the highest trust, preferring those that
// the request has not tried. It reports whether there are any.
func (m *Model) findCandidates(now time.Time, r *request) bool {
	for minTrust := trusted; minTrust >= unreachable; minTrust-- {
		m.collectCandidates(now, r, r.tried, minTrust)
		if len(m.candidates) == 0 && len(r.tried) > 0 {
			m.collectCandidates(now, r, nil, minTrust)
		}
		if len(m.candidates) > 0 {
			return true
		}
	}
	return false
}

// refuse ends a request with a refusal, whose RetryAfter backs off with the organisation's failures.
func (m *Model) refuse(now time.Time, r *request, code Code, message string) []ident.Cmd {
	delete(m.requests, r.ID)
	refusal := r.refusal(code, message)
	refusal.RetryAfter = m.budgets.Backoff(now, r.Org, m.rng)
	return append([]ident.Cmd{refusal}, m.endTrial(now, r)...)
}
