package sched

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// mostWaiting bounds the requests that wait on this entry.
	mostWaiting = 256
	// orgWaitShare bounds the part of them that one organisation may be, where no rule sets its share.
	orgWaitShare = 0.5
	// defaultOrgWeight is the share by which an organisation without a rule is served.
	defaultOrgWeight = 0.1
	// defaultMostPerUpstream bounds the requests on one upstream, as far as the entry knows of them.
	defaultMostPerUpstream = 32
)

// defaultWaits is how long a request of a class may wait for an upstream.
func defaultWaits() map[ident.Class]time.Duration {
	return map[ident.Class]time.Duration{
		ident.Interactive: time.Second,
		ident.Standard:    3 * time.Second,
		ident.Deferred:    20 * time.Second,
	}
}

// waitLimit is how long a request may wait: its class's limit, or less where its answer could not be whole
// by its deadline any more.
func (m *Model) waitLimit(r *request) time.Duration {
	limit := m.waits[r.Class]
	if r.Deadline > 0 {
		limit = min(limit, r.Deadline-m.leastTime(r)-r.waitSince.Sub(r.arrived))
	}
	return limit
}

// wait keeps a request until an upstream that serves it has room, or gives it up at once
// where none serves it or too many wait.
func (m *Model) wait(now time.Time, r *request) []ident.Cmd {
	if len(m.pool(r)) == 0 {
		return m.giveUp(now, r, CodeNoUpstream, "no upstream can take the request now")
	}
	if slices.Contains(m.waiting, r.ID) {
		return nil
	}
	if m.waitsFull(r.Org) {
		return m.giveUp(now, r, CodeOverloaded, "too many requests wait already")
	}
	r.waitSince = now
	m.waiting = append(m.waiting, r.ID)
	return nil
}

// waitsFull reports whether no further request of an organisation may wait.
func (m *Model) waitsFull(org ident.OrgID) bool {
	share, known := m.rules.OrgShare(org)
	if !known {
		share = orgWaitShare
	}
	ofOrg := 0
	for _, id := range m.waiting {
		if r, open := m.requests[id]; open && r.Org == org {
			ofOrg++
		}
	}
	return len(m.waiting) >= mostWaiting || float64(ofOrg) >= share*mostWaiting
}

// admitWaiting sends the requests for which there is room: the most urgent class first, in it the
// organisation with the least in flight for its share, and of one organisation the oldest.
func (m *Model) admitWaiting(now time.Time) (cmds []ident.Cmd) {
	m.dropWaiting()
	slices.SortStableFunc(m.waiting, func(a, b ident.RequestID) int { return m.compareWaiting(now, a, b) })
	var blocked []poolKey
	for _, id := range slices.Clone(m.waiting) {
		cmds = append(cmds, m.admitOne(now, m.requests[id], &blocked)...)
	}
	m.dropWaiting()
	return cmds
}

// admitOne passes a request over where another one found no room on the same upstreams.
func (m *Model) admitOne(now time.Time, r *request, blocked *[]poolKey) []ident.Cmd {
	if now.Sub(r.waitSince) >= m.waitLimit(r) {
		return m.giveUp(now, r, CodeOverloaded, "no upstream had room in time")
	}
	if slices.Contains(*blocked, r.poolKey()) {
		return nil
	}
	cmds := m.send(now, r)
	if _, open := m.requests[r.ID]; open && r.on == "" {
		*blocked = append(*blocked, r.poolKey())
	}
	return cmds
}

// dropWaiting forgets the waiting requests that have ended or been sent.
func (m *Model) dropWaiting() {
	m.waiting = slices.DeleteFunc(m.waiting, func(id ident.RequestID) bool {
		r, open := m.requests[id]
		return !open || r.on != ""
	})
}

func (m *Model) compareWaiting(now time.Time, a, b ident.RequestID) int {
	x, y := m.requests[a], m.requests[b]
	return cmp.Or(
		cmp.Compare(m.rank(now, x), m.rank(now, y)),
		cmp.Compare(m.weightedLoad(x.Org), m.weightedLoad(y.Org)),
		x.waitSince.Compare(y.waitSince),
	)
}

// weightedLoad is an organisation's requests in flight for each unit of its share.
func (m *Model) weightedLoad(org ident.OrgID) float64 {
	return float64(m.running[org]) / m.share(org)
}

// Waiting counts the requests that wait for an upstream.
func (m *Model) Waiting() int { return len(m.waiting) }
