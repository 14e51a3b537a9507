package sched

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// keptRoom is the part of an upstream's room, as a divisor, that deferred requests leave free.
	keptRoom = 4
	// mostPreemptions bounds how often one request is taken off an upstream for more urgent ones.
	mostPreemptions = 2
	// ageTime is how long after its arrival a deferred request without a deadline becomes due.
	ageTime = 10 * time.Second
	// dueFactor multiplies the expected time of a request to tell when its deadline makes it due.
	dueFactor = 2
)

// due reports whether a deferred request has to be treated as an urgent one: its deadline would be
// missed otherwise, or it has no deadline and has aged.
func (m *Model) due(now time.Time, r *request) bool {
	age := now.Sub(r.arrived)
	if r.Deadline == 0 {
		return age >= ageTime
	}
	return age+dueFactor*m.paceOf(r).whole(r) >= r.Deadline
}

// patient reports whether a request stands back for interactive ones.
func (m *Model) patient(now time.Time, r *request) bool {
	return r.Class == ident.Deferred && !m.due(now, r)
}

// rank is the urgency of a request; a lower number goes first.
func (m *Model) rank(now time.Time, r *request) int {
	if r.Class == ident.Deferred && m.due(now, r) {
		return ident.Interactive.Rank()
	}
	return r.Class.Rank()
}

// room tells which upstreams have room for one more request of a kind.
type room struct {
	most int
	// wanted lists what interactive requests wait for; upstreams that serve it are left to them.
	wanted []poolKey
}

// roomFor is the room that a request may take.
func (m *Model) roomFor(now time.Time, r *request) room {
	if !m.patient(now, r) {
		return room{most: m.mostPerUpstream}
	}
	return room{most: m.mostPerUpstream - m.mostPerUpstream/keptRoom, wanted: m.wanted()}
}

// on reports whether an open upstream has the room.
func (f room) on(u *upstream) bool {
	return u.candidate.Outstanding+u.candidate.Others < f.most && !slices.ContainsFunc(f.wanted, u.serves)
}

// wanted lists what interactive requests wait for.
func (m *Model) wanted() (keys []poolKey) {
	for _, id := range m.waiting {
		r, open := m.requests[id]
		if open && r.Class == ident.Interactive && r.on == "" && !slices.Contains(keys, r.poolKey()) {
			keys = append(keys, r.poolKey())
		}
	}
	return keys
}

// preempt makes room for the interactive requests that wait: for each, it takes one deferred
// request off an upstream and sends the interactive one. Where one found none, the others that need
// the same upstreams find none either.
func (m *Model) preempt(now time.Time) (cmds []ident.Cmd) {
	var without []poolKey
	for _, id := range slices.Clone(m.waiting) {
		r, open := m.requests[id]
		if !open || r.on != "" || r.Class != ident.Interactive || slices.Contains(without, r.poolKey()) {
			continue
		}
		victim := m.victim(now, r)
		if victim == nil {
			without = append(without, r.poolKey())
			continue
		}
		cmds = append(cmds, m.displace(now, victim))
		cmds = append(cmds, m.send(now, r)...)
	}
	m.dropWaiting()
	return cmds
}

// victim is the deferred request whose place another one can take, the one sent last; nil where there is none.
func (m *Model) victim(now time.Time, r *request) *request {
	var victims []*request
	for _, v := range m.requests {
		if m.yields(now, v) && m.fullyTaken(now, m.upstreams[v.on], r) {
			victims = append(victims, v)
		}
	}
	if len(victims) == 0 {
		return nil
	}
	return slices.MinFunc(victims, func(a, b *request) int {
		return cmp.Or(b.sent.Compare(a.sent), cmp.Compare(a.ID, b.ID))
	})
}

// yields reports whether a running request may be taken off its upstream for a more urgent one.
func (m *Model) yields(now time.Time, v *request) bool {
	return v.on != "" && v.Repeatable && !v.alone && v.preempted < mostPreemptions && m.patient(now, v)
}

// fullyTaken reports whether an upstream could run a request but for one place.
func (m *Model) fullyTaken(now time.Time, u *upstream, r *request) bool {
	if u == nil || u.candidate.Outstanding+u.candidate.Others != m.mostPerUpstream {
		return false
	}
	return slices.Contains(m.pool(r), u) && m.admits(now, u, r, trusted)
}

// displace stops a request's attempt and lets the request wait; it goes on from its next token.
func (m *Model) displace(now time.Time, v *request) ident.Cmd {
	cancel := CancelCmd{Request: v.ID, Attempt: v.attempt, Upstream: v.on}
	m.release(now, v, false)
	v.moves++
	v.preempted++
	v.touched = true
	v.waitSince = now
	m.waiting = append(m.waiting, v.ID)
	return cancel
}
