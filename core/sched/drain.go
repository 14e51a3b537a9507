package sched

import (
	"math"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

const (
	// maxMovesPerTick limits how many running requests are moved at one tick.
	maxMovesPerTick = 4
	// rampDuration is how long a returning upstream takes to reach its full share of new work.
	rampDuration = 10 * time.Second
	// minRampShare is the share of new work at the start of the ramp.
	minRampShare = 0.05
)

// drainGrace is how long running requests of each class may stay on a closed upstream.
var drainGrace = map[ident.Class]time.Duration{
	ident.Interactive: 10 * time.Second,
	ident.Standard:    5 * time.Second,
	ident.Deferred:    0,
}

// closed reports whether an upstream gets no new work because it is drained or leaving.
func (u *upstream) closed() bool { return !u.closedSince.IsZero() }

// updateClosed records when upstreams close, and starts the ramp of those that reopen.
func (m *Model) updateClosed(now time.Time) {
	if m.rules == nil {
		return
	}
	m.pools = nil
	for _, id := range m.order {
		u := m.upstreams[id]
		closed := u.listed.Leaving || m.rules.Drained(u.listed.ID, u.listed.Zone)
		switch {
		case closed && !u.closed():
			u.closedSince = now
		case !closed && u.closed():
			u.closedSince = time.Time{}
			u.rampSince, u.restricted = now, true
		}
	}
}

// rampShare returns the share of new work that an upstream may get, in (0,1].
func (u *upstream) rampShare(now time.Time) float64 {
	if u.rampSince.IsZero() {
		return 1
	}
	elapsedShare := float64(now.Sub(u.rampSince)) / float64(rampDuration)
	return min(1, max(minRampShare, elapsedShare))
}

// heldByRamp reports whether the ramp excludes a request from an upstream. It compares the prompt's rendezvous
// weight with the share, so that every entry readmits the same prompts first.
func (u *upstream) heldByRamp(now time.Time, r *request) bool {
	share := u.rampShare(now)
	if share >= 1 {
		return false
	}
	return float64(route.Weight(r.key, u.candidate.Hash)) >= share*math.MaxUint64
}

// moveOffClosed resends running requests from closed upstreams after their grace period, at most
// maxMovesPerTick per tick. A request without another candidate stays.
func (m *Model) moveOffClosed(now time.Time) (cmds []ident.Cmd) {
	for _, r := range m.requestsToMove(now) {
		cmds = append(cmds, m.moveOne(now, r)...)
	}
	return cmds
}

// requestsToMove lists the requests to move at this tick, ordered by id.
func (m *Model) requestsToMove(now time.Time) (moving []*request) {
	if !m.anyClosedBusy() {
		return nil
	}
	for _, r := range m.requests {
		u, known := m.upstreams[r.upstream]
		if known && r.Repeatable && u.closed() && now.Sub(u.closedSince) >= drainGrace[r.Class] {
			moving = append(moving, r)
		}
	}
	slices.SortFunc(moving, compareByID)
	return moving[:min(len(moving), maxMovesPerTick)]
}

func compareByID(a, b *request) int {
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// anyClosedBusy reports whether a closed upstream still runs requests of this entry.
func (m *Model) anyClosedBusy() bool {
	for _, id := range m.order {
		if u := m.upstreams[id]; u.candidate.Outstanding > 0 && u.closed() {
			return true
		}
	}
	return false
}

func (m *Model) moveOne(now time.Time, r *request) []ident.Cmd {
	if r.isolated || !m.findCandidates(now, r) {
		return nil
	}
	return m.resendElsewhere(now, r)
}

// resendElsewhere cancels a request's attempt and sends it again; this does not count as a retry.
func (m *Model) resendElsewhere(now time.Time, r *request) []ident.Cmd {
	cancel := CancelCmd{Request: r.ID, Attempt: r.attempt, Upstream: r.upstream}
	m.release(now, r, false)
	r.moves++
	r.mayHaveRun = true
	return append([]ident.Cmd{cancel}, m.send(now, r)...)
}
