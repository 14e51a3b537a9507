package sched

import (
	"fmt"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
	"cicadavalve/core/route"
)

const (
	// mostAloneWait is how long a suspect request may wait for an upstream of its own.
	mostAloneWait = 5 * time.Second
	// aloneShare is the part of the upstreams, as a divisor, that suspect requests may hold at once.
	aloneShare = 4
	// mostTrialWait is how long a suspect request waits for the log to show its trial, and for the
	// other members to know of it.
	mostTrialWait = 500 * time.Millisecond
)

// VerdictNext is the offset of the first record of [ledger.StreamVerdict] not folded yet.
func (m *Model) VerdictNext() int64 { return m.poison.Next() }

// Suspects lists the requests that crashed upstreams.
func (m *Model) Suspects(now time.Time) []poison.View { return m.poison.Views(now) }

// liftQuarantines ends the quarantines that the operator's file names.
func (m *Model) liftQuarantines() (cmds []ident.Cmd) {
	if m.rules == nil {
		return nil
	}
	for _, r := range m.rules.Released() {
		cmds = append(cmds, m.poison.Release(poison.Digest(r.Digest), r.ID)...)
	}
	return cmds
}

// lost tells of a request whose upstream broke off under it. A silent upstream is no sign of
// a crash: it may only be busy.
func (m *Model) lost(now time.Time, r *request, cause Cause) []ident.Cmd {
	u, known := m.upstreams[r.on]
	if !known || cause != CauseBroken {
		return nil
	}
	loss := poison.Loss{Upstream: r.on, Boot: u.load.BootID, OnTrial: m.onTrial(r)}
	return m.poison.Lost(now, r.sent, r.Digest, loss, r.alone)
}

// sendAlone reserves an upstream for a suspect request, and sends once nothing else of
// this entry runs there.
func (m *Model) sendAlone(now time.Time, r *request) []ident.Cmd {
	if m.poison.TriedElsewhere(r.Digest, r.trial.ID) {
		return m.giveUp(now, r, CodeQuarantined, "the request crashed upstreams and another sending of it is on trial")
	}
	if m.countOpen(r) < 2 {
		return m.giveUp(now, r, CodeUpstreamFailed, "no upstream can be kept free to run the request alone")
	}
	m.find(now, r)
	if r.aloneSince.IsZero() {
		r.aloneSince = now
	}
	if !slices.Contains(m.parked, r.ID) {
		m.parked = append(m.parked, r.ID)
	}
	m.reserve(r)
	return m.startAlone(now, r)
}

// reserve keeps new work from the least loaded candidate, unless too many are reserved.
func (m *Model) reserve(r *request) {
	if len(m.candidates) == 0 || m.reserved() >= max(1, len(m.order)/aloneShare) || m.runsAlone(r.Digest) {
		return
	}
	best := slices.MinFunc(m.candidates, func(a, b *route.Candidate) int {
		if d := a.Outstanding + a.Others - b.Outstanding - b.Others; d != 0 {
			return d
		}
		if route.Weight(r.key, a.Hash) > route.Weight(r.key, b.Hash) {
			return -1
		}
		return 1
	})
	u := m.upstreams[best.ID]
	u.reservedFor, u.special = r.ID, true
	r.reserved = best.ID
}

// countOpen counts the upstreams that could run a request, those kept free for others included.
func (m *Model) countOpen(r *request) int {
	return len(m.pool(r))
}

// reserved counts the upstreams kept free for suspect requests of any entry.
func (m *Model) reserved() (n int) {
	for _, id := range m.order {
		if m.upstreams[id].reservedFor != "" || m.poison.Occupied(id, "") {
			n++
		}
	}
	return n
}

// runsAlone reports whether another copy of a suspect request has an upstream of its own.
func (m *Model) runsAlone(d poison.Digest) bool {
	for _, id := range m.order {
		if r, open := m.requests[m.upstreams[id].reservedFor]; open && r.Digest == d {
			return true
		}
	}
	return false
}

// startAlone sends a suspect request when its upstream is free, the log shows its trial and the other
// members know of it, or after a while without the log or a member.
func (m *Model) startAlone(now time.Time, r *request) []ident.Cmd {
	u, held := m.upstreams[r.reserved]
	if !held || u.candidate.Outstanding > 0 || !m.eligible(now, u, r, unreachable) {
		return nil
	}
	if r.trial.ID == "" {
		r.trials++
		r.trial = poison.TrialBody{Digest: r.Digest, ID: fmt.Sprintf("%s/%d", r.ID, r.trials), Upstream: r.reserved}
		r.trialSince = now
		return m.poison.Trial(r.trial)
	}
	waits := now.Sub(r.trialSince) < mostTrialWait
	if waits && !m.poison.Granted(r.Digest, r.trial.ID) {
		return nil
	}
	if waits && !r.confirmed {
		return m.confirm(now, r)
	}
	m.parked = slices.DeleteFunc(m.parked, func(id ident.RequestID) bool { return id == r.ID })
	r.alone = true
	return []ident.Cmd{m.start(now, r, u)}
}

// endTrial ends the trial of a request that goes no further on its own upstream.
func (m *Model) endTrial(r *request) []ident.Cmd {
	m.unreserve(r)
	if r.trial.ID == "" {
		return nil
	}
	ended := r.trial
	r.trial, r.confirming, r.confirmed = poison.TrialBody{}, false, false
	return m.poison.EndTrial(ended)
}

// keptFree reports whether an upstream is kept for another request on trial.
func (m *Model) keptFree(u *upstream, r *request) bool {
	return (u.reservedFor != "" && u.reservedFor != r.ID) || m.poison.Occupied(u.listed.ID, r.trial.ID)
}

// unreserve gives a request's own upstream back.
func (m *Model) unreserve(r *request) {
	if u, held := m.upstreams[r.reserved]; held && u.reservedFor == r.ID {
		u.reservedFor = ""
	}
	r.reserved, r.alone = "", false
	m.parked = slices.DeleteFunc(m.parked, func(id ident.RequestID) bool { return id == r.ID })
}

// wake tries the suspect requests that wait, the oldest first.
func (m *Model) wake(now time.Time) (cmds []ident.Cmd) {
	for _, id := range slices.Clone(m.parked) {
		r, open := m.requests[id]
		switch {
		case !open:
			m.parked = slices.DeleteFunc(m.parked, func(p ident.RequestID) bool { return p == id })
		case now.Sub(r.aloneSince) >= mostAloneWait:
			cmds = append(cmds, m.giveUp(now, r, CodeUpstreamFailed, "no upstream was free to run the request alone")...)
		default:
			cmds = append(cmds, m.wakeOne(now, r)...)
		}
	}
	return cmds
}

// wakeOne looks for another upstream where the reserved one may no longer be used.
func (m *Model) wakeOne(now time.Time, r *request) []ident.Cmd {
	u, held := m.upstreams[r.reserved]
	if held && m.mayTry(now, r) && m.eligible(now, u, r, suspected) {
		return m.startAlone(now, r)
	}
	cmds := m.endTrial(r)
	return append(m.send(now, r), cmds...)
}

func (m *Model) mayTry(now time.Time, r *request) bool {
	return m.poison.Standing(now, r.Digest) == poison.Suspect && !m.poison.TriedElsewhere(r.Digest, r.trial.ID)
}
