package sched

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// overShareDivisor divides the first-token limit of organisations that use more than their share.
	overShareDivisor = 2
	// activeOrgTTL is how long after its last arrival an organisation counts as active.
	activeOrgTTL = 5 * time.Second
)

// defaultFirstTokenLimits returns the longest useful time from arrival to first token by class; a class without
// an entry has no limit.
func defaultFirstTokenLimits() map[ident.Class]time.Duration {
	return map[ident.Class]time.Duration{
		ident.Interactive: 1500 * time.Millisecond,
		ident.Standard:    4 * time.Second,
	}
}

// excess estimates by how much a completion that was never sent would miss its class's first-token limit or its
// deadline on an upstream. It is 0 before the first measurement, and where this entry has no backlog there, so
// that requests still get through to correct an estimate that is too high.
func (m *Model) excess(now time.Time, r *request, u *upstream) time.Duration {
	p := m.paceOf(r)
	if r.Model == "" || r.attempt > 0 || !p.measured || u.candidate.Backlog == 0 {
		return 0
	}
	uncached := max(0, r.PromptTokens-m.prompts.cachedTokens(r.key, u))
	firstToken := now.Sub(r.arrivedAt) + p.firstTokenDelay(u.candidate.Backlog+uncached)
	excess := m.firstTokenExcess(now, r, firstToken)
	if r.Deadline > 0 {
		excess = max(excess, firstToken+p.decodeDelay(r)-r.Deadline)
	}
	return max(0, excess)
}

// selectUpstream returns the policy's choice among the candidates, or the first one with the least excess where
// that choice would be late. excess is 0 if the request would be in time.
func (m *Model) selectUpstream(now time.Time, r *request) (u *upstream, excess time.Duration) {
	u = m.upstreams[m.pickCandidate(now, r)]
	excess = m.excess(now, r, u)
	for _, c := range m.candidates {
		if excess == 0 {
			return u, 0
		}
		other := m.upstreams[c.ID]
		if o := m.excess(now, r, other); o < excess {
			u, excess = other, o
		}
	}
	return u, excess
}

// decodeDelay returns the expected time from the first token to the end of an answer, or 0 before the pool's
// pace is measured.
func (m *Model) decodeDelay(r *request) time.Duration {
	if p := m.paceOf(r); p.measured {
		return p.decodeDelay(r)
	}
	return 0
}

// firstTokenExcess returns by how much an expected first token, measured from arrival, misses the limit of the
// request's class; it is negative or 0 if it does not. Organisations over their share get a shorter limit.
func (m *Model) firstTokenExcess(now time.Time, r *request, firstToken time.Duration) time.Duration {
	limit, bounded := m.firstTokenLimits[r.Class]
	if !bounded {
		return 0
	}
	if firstToken > limit/overShareDivisor && m.overShare(now, r.Org) {
		limit /= overShareDivisor
	}
	return firstToken - limit
}

// overShare reports whether an organisation has more in flight than its share among the active organisations.
func (m *Model) overShare(now time.Time, org ident.OrgID) bool {
	running, shares := 0, 0.0
	for _, other := range slices.Sorted(maps.Keys(m.lastArrival)) {
		if now.Sub(m.lastArrival[other]) >= activeOrgTTL {
			delete(m.lastArrival, other)
			continue
		}
		running += m.running[other]
		shares += m.share(other)
	}
	return float64(m.running[org])*shares > m.share(org)*float64(running)
}

// share returns an organisation's weight against the other active ones.
func (m *Model) share(org ident.OrgID) float64 {
	share, known := m.rules.OrgShare(org)
	if !known || share <= 0 {
		return defaultOrgWeight
	}
	return share
}

// refuseEarly refuses a request whose answer would be late; RetryAfter is at least the excess.
func (m *Model) refuseEarly(now time.Time, r *request, excess time.Duration) []ident.Cmd {
	cmds := m.refuse(now, r, CodeOverloaded, "the first token would come too late")
	refusal := cmds[0].(RefuseCmd)
	refusal.RetryAfter = max(refusal.RetryAfter, excess)
	cmds[0] = refusal
	return cmds
}
