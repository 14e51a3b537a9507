package sched

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// crowdedShare is the part of its class's limit, as a divisor, that an organisation with more than its
	// share may use.
	crowdedShare = 2
	// askedTime is how long an organisation counts as one that shares after its last request.
	askedTime = 5 * time.Second
)

// defaultFirstLimits is by when after its arrival the first token of a class is of use; none means any time.
func defaultFirstLimits() map[ident.Class]time.Duration {
	return map[ident.Class]time.Duration{
		ident.Interactive: 1500 * time.Millisecond,
		ident.Standard:    4 * time.Second,
	}
}

// excess is by how much a request that has not been sent yet would miss the limit of its class or its
// deadline on an upstream. It is zero where nothing of this entry is queued there, so that an estimate
// that is too long is always put right, and before any first token was seen.
func (m *Model) excess(now time.Time, r *request, u *upstream) time.Duration {
	p := m.paceOf(r)
	if r.Model == "" || r.attempt > 0 || !p.seen || u.candidate.Backlog == 0 {
		return 0
	}
	missing := max(0, r.PromptTokens-m.kept.tokens(r.key, u))
	first := now.Sub(r.arrived) + p.first(u.candidate.Backlog+missing)
	over := m.overLimit(now, r, first)
	if r.Deadline > 0 {
		over = max(over, first+p.rest(r)-r.Deadline)
	}
	return max(0, over)
}

// place picks one of the candidates, and tells by how much the request's first token would be late there.
// Where the policy's choice is late, it is the one with the least excess, the first of them.
func (m *Model) place(now time.Time, r *request) (u *upstream, over time.Duration) {
	u = m.upstreams[m.choose(now, r)]
	over = m.excess(now, r, u)
	for _, c := range m.candidates {
		if over == 0 {
			return u, 0
		}
		other := m.upstreams[c.ID]
		if o := m.excess(now, r, other); o < over {
			u, over = other, o
		}
	}
	return u, over
}

// leastTime is what a request's answer takes at least after its first token, as far as the pool's pace is known.
func (m *Model) leastTime(r *request) time.Duration {
	if p := m.paceOf(r); p.seen {
		return p.rest(r)
	}
	return 0
}

// overLimit is by how much an expected first token misses the limit of the request's class.
func (m *Model) overLimit(now time.Time, r *request, first time.Duration) time.Duration {
	limit, bounded := m.firstLimits[r.Class]
	if !bounded {
		return 0
	}
	if first > limit/crowdedShare && m.overShare(now, r.Org) {
		limit /= crowdedShare
	}
	return first - limit
}

// overShare reports whether an organisation has more in flight than its share among those that ask.
func (m *Model) overShare(now time.Time, org ident.OrgID) bool {
	running, shares := 0, 0.0
	for _, other := range slices.Sorted(maps.Keys(m.asked)) {
		if now.Sub(m.asked[other]) >= askedTime {
			delete(m.asked, other)
			continue
		}
		running += m.running[other]
		shares += m.share(other)
	}
	return float64(m.running[org])*shares > m.share(org)*float64(running)
}

// share is the part of the upstreams that an organisation may use while others ask too.
func (m *Model) share(org ident.OrgID) float64 {
	share, known := m.rules.OrgShare(org)
	if !known || share <= 0 {
		return defaultOrgWeight
	}
	return share
}

// refuseEarly gives up a request whose answer would come too late, and tells when there will be room.
func (m *Model) refuseEarly(now time.Time, r *request, over time.Duration) []ident.Cmd {
	cmds := m.giveUp(now, r, CodeOverloaded, "the first token would come too late")
	refusal := cmds[0].(RefuseCmd)
	refusal.RetryAfter = max(refusal.RetryAfter, over)
	cmds[0] = refusal
	return cmds
}
