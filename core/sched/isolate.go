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
	// isolationTimeout is how long a suspect request may wait for a reserved upstream.
	isolationTimeout = 5 * time.Second
	// isolationDivisor limits the upstreams reserved for suspect requests to 1/isolationDivisor of all.
	isolationDivisor = 4
	// trialTimeout is how long a suspect request waits for its trial record to appear in the log and for
	// the other members' confirmation; it then runs without them.
	trialTimeout = 500 * time.Millisecond
)

// VerdictNext is the offset of the first record of [ledger.StreamVerdict] that is not applied yet.
func (m *Model) VerdictNext() int64 { return m.poison.Next() }

// Suspects lists the requests with recorded upstream losses, the quarantined ones first.
func (m *Model) Suspects(now time.Time) []poison.View { return m.poison.Views(now) }

// liftQuarantines ends the quarantines that the rules file releases.
func (m *Model) liftQuarantines(now time.Time) (cmds []ident.Cmd) {
	if m.rules == nil {
		return nil
	}
	for _, r := range m.rules.Released() {
		cmds = append(cmds, m.poison.Release(now, poison.Digest(r.Digest), r.ID)...)
	}
	return cmds
}

// recordLoss records a possible crash of a request's upstream after a broken connection. Silence does not
// count as a crash: the upstream may only be busy. The report of the next boot may arrive before the connection breaks; it then confirms
// the loss at once.
func (m *Model) recordLoss(now time.Time, r *request, cause Cause) []ident.Cmd {
	u, known := m.upstreams[r.upstream]
	if !known || cause != CauseBroken {
		return nil
	}
	loss := poison.Loss{Upstream: r.upstream, Boot: r.boot, OnTrial: m.onTrial(r)}
	cmds := m.poison.RecordLoss(now, r.sentAt, r.Digest, loss, r.isolated)
	if u.load.BootID != r.boot {
		cmds = append(cmds, m.poison.ObserveBoot(now, r.upstream, u.load.BootID)...)
	}
	return cmds
}

// sendIsolated reserves an upstream for a suspect request and sends it once no other request of this
// entry runs there. Until then the request is parked.
func (m *Model) sendIsolated(now time.Time, r *request) []ident.Cmd {
	if m.poison.TriedElsewhere(r.Digest, r.trial.ID) {
		return m.refuse(now, r, CodeQuarantined, "the request crashed upstreams and another sending of it is on trial")
	}
	if m.poolSize(r) < 2 {
		return m.refuse(now, r, CodeUpstreamFailed, "no upstream can be kept free to run the request alone")
	}
	m.findCandidates(now, r)
	if r.parkedSince.IsZero() {
		r.parkedSince = now
	}
	if !slices.Contains(m.parked, r.ID) {
		m.parked = append(m.parked, r.ID)
	}
	m.reserve(r)
	return m.startIsolated(now, r)
}

// reserve keeps new work of other requests away from the least loaded candidate. It does nothing if too many
// upstreams are reserved, or one already is for another copy of the request.
func (m *Model) reserve(r *request) {
	if len(m.candidates) == 0 || m.countReserved() >= max(1, len(m.order)/isolationDivisor) || m.hasReservation(r.Digest) {
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
	u.reservedFor, u.restricted = r.ID, true
	r.reserved = best.ID
}

// poolSize counts the upstreams that could run a request, including those reserved for others.
func (m *Model) poolSize(r *request) int {
	return len(m.pool(r))
}

// countReserved counts the upstreams reserved for suspect requests by any entry.
func (m *Model) countReserved() (n int) {
	for _, id := range m.order {
		if m.upstreams[id].reservedFor != "" || m.poison.Occupied(id, "") {
			n++
		}
	}
	return n
}

// hasReservation reports whether this entry holds a reserved upstream for a request with the digest.
func (m *Model) hasReservation(d poison.Digest) bool {
	for _, id := range m.order {
		if r, open := m.requests[m.upstreams[id].reservedFor]; open && r.Digest == d {
			return true
		}
	}
	return false
}

// startIsolated sends a suspect request once its reserved upstream is idle, the log has granted its trial
// and the other members have confirmed the earlier losses. After trialTimeout it no longer waits for the
// log or the members.
func (m *Model) startIsolated(now time.Time, r *request) []ident.Cmd {
	u, held := m.upstreams[r.reserved]
	if !held || u.candidate.Outstanding > 0 || !m.eligible(now, u, r, unreachable) {
		return nil
	}
	if r.trial.ID == "" {
		r.trials++
		r.trial = poison.TrialBody{Digest: r.Digest, ID: fmt.Sprintf("%s/%d", r.ID, r.trials), Upstream: r.reserved}
		r.trialSince = now
		return m.poison.RequestTrial(now, r.trial)
	}
	waiting := now.Sub(r.trialSince) < trialTimeout
	if waiting && !m.poison.Granted(r.Digest, r.trial.ID) {
		return nil
	}
	if waiting && !r.confirmed {
		return m.confirm(now, r)
	}
	m.parked = slices.DeleteFunc(m.parked, func(id ident.RequestID) bool { return id == r.ID })
	r.isolated = true
	return []ident.Cmd{m.startAttempt(now, r, u)}
}

// endTrial releases a request's reserved upstream and ends its trial, if it has one.
func (m *Model) endTrial(now time.Time, r *request) []ident.Cmd {
	m.unreserve(r)
	if r.trial.ID == "" {
		return nil
	}
	ended := r.trial
	r.trial, r.confirmRequested, r.confirmed = poison.TrialBody{}, false, false
	return m.poison.EndTrial(now, ended)
}

// reservedForOther reports whether an upstream is reserved for another request, by this entry or another.
func (m *Model) reservedForOther(u *upstream, r *request) bool {
	return (u.reservedFor != "" && u.reservedFor != r.ID) || m.poison.Occupied(u.listed.ID, r.trial.ID)
}

// unreserve releases a request's reserved upstream and takes the request off the parked list.
func (m *Model) unreserve(r *request) {
	if u, held := m.upstreams[r.reserved]; held && u.reservedFor == r.ID {
		u.reservedFor = ""
	}
	r.reserved, r.isolated = "", false
	m.parked = slices.DeleteFunc(m.parked, func(id ident.RequestID) bool { return id == r.ID })
}

// retryParked retries the parked requests, oldest first, and refuses those that have waited for isolationTimeout.
func (m *Model) retryParked(now time.Time) (cmds []ident.Cmd) {
	for _, id := range slices.Clone(m.parked) {
		r, open := m.requests[id]
		switch {
		case !open:
			m.parked = slices.DeleteFunc(m.parked, func(p ident.RequestID) bool { return p == id })
		case now.Sub(r.parkedSince) >= isolationTimeout:
			cmds = append(cmds, m.refuse(now, r, CodeUpstreamFailed, "no upstream was free to run the request alone")...)
		default:
			cmds = append(cmds, m.retryOneParked(now, r)...)
		}
	}
	return cmds
}

// retryOneParked starts a parked request on its reserved upstream, or reserves another one where that is no
// longer eligible.
func (m *Model) retryOneParked(now time.Time, r *request) []ident.Cmd {
	u, held := m.upstreams[r.reserved]
	if held && m.trialAllowed(now, r) && m.eligible(now, u, r, suspected) {
		return m.startIsolated(now, r)
	}
	cmds := m.endTrial(now, r)
	return append(m.send(now, r), cmds...)
}

// trialAllowed reports whether a request is still suspect and no other copy of it is on trial.
func (m *Model) trialAllowed(now time.Time, r *request) bool {
	return m.poison.Standing(now, r.Digest) == poison.Suspect && !m.poison.TriedElsewhere(r.Digest, r.trial.ID)
}
