package sched

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// maxWaiting limits the requests that wait on this entry.
	maxWaiting = 256
	// defaultOrgWaitShare limits one organisation's part of maxWaiting if no rule sets its share.
	defaultOrgWaitShare = 0.5
	// defaultOrgWeight is the share of an organisation without a rule.
	defaultOrgWeight = 0.1
	// defaultMaxPerUpstream limits the requests on one upstream, as far as this entry can count them.
	defaultMaxPerUpstream = 32
)

// defaultWaitLimits returns how long a request of each class may wait for an upstream.
func defaultWaitLimits() map[ident.Class]time.Duration {
	return map[ident.Class]time.Duration{
		ident.Interactive: time.Second,
		ident.Standard:    3 * time.Second,
		ident.Deferred:    20 * time.Second,
	}
}

// waitLimit returns how long a request may wait: its class's limit, or less if its answer could no longer be
// complete by its deadline.
func (m *Model) waitLimit(r *request) time.Duration {
	limit := m.waitLimits[r.Class]
	if r.Deadline > 0 {
		limit = min(limit, r.Deadline-m.decodeDelay(r)-r.waitSince.Sub(r.arrivedAt))
	}
	return limit
}

// enqueue adds a request to the wait queue. It refuses the request if no upstream serves it or the
// queue is full.
func (m *Model) enqueue(now time.Time, r *request) []ident.Cmd {
	if len(m.pool(r)) == 0 {
		return m.refuse(now, r, CodeNoUpstream, "no upstream can take the request now")
	}
	if slices.Contains(m.waiting, r.ID) {
		return nil
	}
	if m.waitQueueFull(r.Org) {
		return m.refuse(now, r, CodeOverloaded, "too many requests wait already")
	}
	r.waitSince = now
	m.waiting = append(m.waiting, r.ID)
	return nil
}

// waitQueueFull reports whether the queue, or an organisation's part of it, is full.
func (m *Model) waitQueueFull(org ident.OrgID) bool {
	share, known := m.rules.OrgShare(org)
	if !known {
		share = defaultOrgWaitShare
	}
	ofOrg := 0
	for _, id := range m.waiting {
		if r, open := m.requests[id]; open && r.Org == org {
			ofOrg++
		}
	}
	return len(m.waiting) >= maxWaiting || float64(ofOrg) >= share*maxWaiting
}

// admitWaiting sends waiting requests for which there is capacity: the most urgent class first, within it
// the organisation with the fewest requests in flight for its share, and within that the oldest.
func (m *Model) admitWaiting(now time.Time) (cmds []ident.Cmd) {
	m.pruneWaiting()
	slices.SortStableFunc(m.waiting, func(a, b ident.RequestID) int { return m.compareWaiting(now, a, b) })
	var blocked []poolKey
	for _, id := range slices.Clone(m.waiting) {
		cmds = append(cmds, m.admitOne(now, m.requests[id], &blocked)...)
	}
	m.pruneWaiting()
	return cmds
}

// admitOne sends a waiting request or refuses it after its wait limit. It skips a request whose pool is in
// blocked, and adds the pool if it has no capacity.
func (m *Model) admitOne(now time.Time, r *request, blocked *[]poolKey) []ident.Cmd {
	if now.Sub(r.waitSince) >= m.waitLimit(r) {
		return m.refuse(now, r, CodeOverloaded, "no upstream had room in time")
	}
	if slices.Contains(*blocked, r.poolKey()) {
		return nil
	}
	cmds := m.send(now, r)
	if _, open := m.requests[r.ID]; open && r.upstream == "" {
		*blocked = append(*blocked, r.poolKey())
	}
	return cmds
}

// pruneWaiting removes from the queue the requests that have ended or been sent.
func (m *Model) pruneWaiting() {
	m.waiting = slices.DeleteFunc(m.waiting, func(id ident.RequestID) bool {
		r, open := m.requests[id]
		return !open || r.upstream != ""
	})
}

// compareWaiting orders two waiting requests for admission.
func (m *Model) compareWaiting(now time.Time, a, b ident.RequestID) int {
	x, y := m.requests[a], m.requests[b]
	return cmp.Or(
		cmp.Compare(m.rank(now, x), m.rank(now, y)),
		cmp.Compare(m.weightedLoad(x.Org), m.weightedLoad(y.Org)),
		x.waitSince.Compare(y.waitSince),
	)
}

// weightedLoad returns an organisation's requests in flight divided by its share.
func (m *Model) weightedLoad(org ident.OrgID) float64 {
	return float64(m.running[org]) / m.share(org)
}

// Waiting counts the requests that wait for an upstream.
func (m *Model) Waiting() int { return len(m.waiting) }
