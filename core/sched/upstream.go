package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// unreachableMisses is the number of consecutive missed probes from which an upstream counts as unreachable.
const unreachableMisses = 2

// outageMisses is the number of consecutive missed probes after which a returning upstream is ramped up.
const outageMisses = 20

// upstream is this entry's state of one upstream.
type upstream struct {
	listed Upstream
	load   Load
	// candidate is the view passed to the policy. Outstanding counts this entry's attempts in flight, and Backlog
	// the prompt tokens of those without a first token; neither is ever negative.
	candidate route.Candidate
	// coldLimit is how many requests the upstream may run while cold; it is valid only if hasColdLimit is true.
	coldLimit    int
	hasColdLimit bool
	// restricted is true if admits must be checked before the upstream takes a request. It may stay true longer
	// than needed.
	restricted bool
	// reported is true once a load report has arrived; no request is sent before.
	reported bool
	// misses counts the missed probes since the last report.
	misses int
	// suspectUntil is until when the upstream gets less trust after a failed attempt.
	suspectUntil time.Time
	// closedSince is when the upstream was drained or began to leave, or zero.
	closedSince time.Time
	// rampSince is when the upstream last returned from being closed or from an outage, or zero.
	rampSince time.Time
	// reservedFor is the suspect request for which the upstream is reserved, or empty.
	reservedFor ident.RequestID
}

// trust ranks upstreams by their last probes and attempts. It only sets a preference, since a fault of
// the entry itself can lower the trust of every upstream.
type trust int

const (
	// unreachable upstreams missed their last probes.
	unreachable trust = iota
	// suspected upstreams failed an attempt within suspectTTL.
	suspected
	// returning upstreams are ramping up and do not take the request yet.
	returning
	trusted
)

func (u *upstream) trust(now time.Time, r *request) trust {
	switch {
	case u.misses >= unreachableMisses:
		return unreachable
	case now.Before(u.suspectUntil):
		return suspected
	case u.heldByRamp(now, r):
		return returning
	}
	return trusted
}

// settleBacklog removes a request's remaining prompt tokens from the backlog.
func (u *upstream) settleBacklog(r *request) {
	u.candidate.Backlog = max(0, u.candidate.Backlog-r.backlogTokens)
	r.backlogTokens = 0
}

// updateOthers derives the number of other entries' requests from a load report, by subtracting this entry's own
// count, which is more current.
func (u *upstream) updateOthers(load Load) {
	others := max(0, load.Running+load.Waiting-u.candidate.Outstanding)
	u.candidate.Others = others
}
