package sched

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// headroomDivisor keeps 1/headroomDivisor of each upstream's capacity free of deferred requests.
	headroomDivisor = 4
	// maxPreemptions limits how often one request is preempted for more urgent ones.
	maxPreemptions = 2
	// agingDelay is the time from arrival until a deferred request without a deadline becomes due.
	agingDelay = 10 * time.Second
	// dueFactor is the multiple of a request's expected duration at which its remaining time makes it due.
	dueFactor = 2
)

// isDue reports whether a deferred request must be treated as interactive: its deadline is near, or it has
// no deadline and arrived at least agingDelay ago.
func (m *Model) isDue(now time.Time, r *request) bool {
	age := now.Sub(r.arrivedAt)
	if r.Deadline == 0 {
		return age >= agingDelay
	}
	return age+dueFactor*m.paceOf(r).totalDelay(r) >= r.Deadline
}

// isDeferrable reports whether a request yields to interactive ones.
func (m *Model) isDeferrable(now time.Time, r *request) bool {
	return r.Class == ident.Deferred && !m.isDue(now, r)
}

// rank returns the priority of a request; lower numbers go first.
func (m *Model) rank(now time.Time, r *request) int {
	if r.Class == ident.Deferred && m.isDue(now, r) {
		return ident.Interactive.Rank()
	}
	return r.Class.Rank()
}

// capacity describes which upstreams may take one more request.
type capacity struct {
	// limit is the number of requests at which an upstream is full.
	limit int
	// excluded lists the pools that interactive requests wait for; their upstreams take no deferred ones.
	excluded []poolKey
}

// capacityFor returns the capacity available to a request.
func (m *Model) capacityFor(now time.Time, r *request) capacity {
	if !m.isDeferrable(now, r) {
		return capacity{limit: m.maxPerUpstream}
	}
	return capacity{limit: m.maxPerUpstream - m.maxPerUpstream/headroomDivisor, excluded: m.interactivePools()}
}

// fits reports whether an open upstream has room for another request.
func (c capacity) fits(u *upstream) bool {
	return u.candidate.Outstanding+u.candidate.Others < c.limit && !slices.ContainsFunc(c.excluded, u.serves)
}

// interactivePools lists the pools that interactive requests wait for.
func (m *Model) interactivePools() (keys []poolKey) {
	for _, id := range m.waiting {
		r, open := m.requests[id]
		if open && r.Class == ident.Interactive && r.upstream == "" && !slices.Contains(keys, r.poolKey()) {
			keys = append(keys, r.poolKey())
		}
	}
	return keys
}

// preempt displaces one deferred request for each waiting interactive request and sends the latter. A pool
// without a victim is skipped for the remaining requests.
func (m *Model) preempt(now time.Time) (cmds []ident.Cmd) {
	var exhausted []poolKey
	for _, id := range slices.Clone(m.waiting) {
		r, open := m.requests[id]
		if !open || r.upstream != "" || r.Class != ident.Interactive || slices.Contains(exhausted, r.poolKey()) {
			continue
		}
		victim := m.victim(now, r)
		if victim == nil {
			exhausted = append(exhausted, r.poolKey())
			continue
		}
		cmds = append(cmds, m.displace(now, victim))
		cmds = append(cmds, m.send(now, r)...)
	}
	m.pruneWaiting()
	return cmds
}

// victim returns the most recently sent deferred request whose slot r can take, or nil if there is none.
func (m *Model) victim(now time.Time, r *request) *request {
	var victims []*request
	for _, v := range m.requests {
		if m.preemptible(now, v) && m.exactlyFull(now, m.upstreams[v.upstream], r) {
			victims = append(victims, v)
		}
	}
	if len(victims) == 0 {
		return nil
	}
	return slices.MinFunc(victims, func(a, b *request) int {
		return cmp.Or(b.sentAt.Compare(a.sentAt), cmp.Compare(a.ID, b.ID))
	})
}

// preemptible reports whether a running request may be displaced by a more urgent one.
func (m *Model) preemptible(now time.Time, v *request) bool {
	return v.upstream != "" && v.Repeatable && !v.isolated && v.preempted < maxPreemptions && m.isDeferrable(now, v)
}

// exactlyFull reports whether an upstream could take a request if one slot became free.
func (m *Model) exactlyFull(now time.Time, u *upstream, r *request) bool {
	if u == nil || u.candidate.Outstanding+u.candidate.Others != m.maxPerUpstream {
		return false
	}
	return slices.Contains(m.pool(r), u) && m.admits(now, u, r, trusted)
}

// displace cancels a request's attempt and queues the request; its next attempt resumes after the delivered
// tokens.
func (m *Model) displace(now time.Time, v *request) ident.Cmd {
	cancel := CancelCmd{Request: v.ID, Attempt: v.attempt, Upstream: v.upstream}
	m.release(now, v, false)
	v.moves++
	v.preempted++
	v.mayHaveRun = true
	v.waitSince = now
	m.waiting = append(m.waiting, v.ID)
	return cancel
}
