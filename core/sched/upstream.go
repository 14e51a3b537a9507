package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// probeMisses is how many probes in a row an upstream may miss before it counts as unreachable.
const probeMisses = 2

// outageMisses is how many missed probes in a row make an upstream come back by a ramp.
const outageMisses = 20

// upstream is what this entry knows of one upstream.
type upstream struct {
	listed Upstream
	load   Load
	// candidate is the upstream as a policy sees it. Its Outstanding counts this entry's attempts in
	// flight and its Backlog their prompt tokens without a first token; neither is ever negative.
	candidate route.Candidate
	// bears is how many requests it bears while cold; it counts only where a rule tells.
	bears      int
	bearsKnown bool
	// special is true where the upstream may not be a candidate for every request; it may be
	// true for longer than needed.
	special bool
	// seen is true once a load report has come; no request is sent before.
	seen bool
	// misses counts probes without an answer since the last answer.
	misses int
	// suspectUntil keeps new work away after a failed attempt.
	suspectUntil time.Time
	// closedSince is when it stopped to get new work by rule or because it leaves, or zero.
	closedSince time.Time
	// backSince is when it last came back from that or from an outage, or zero.
	backSince time.Time
	// reservedFor is the suspect request that runs there alone, or empty.
	reservedFor ident.RequestID
}

// trust ranks upstreams by what the last probes and attempts tell; the entry's own
// trouble can make every upstream look bad, so a low rank is only a reason to prefer others.
type trust int

const (
	// unreachable upstreams missed their last probes.
	unreachable trust = iota
	// suspected upstreams failed an attempt a moment ago.
	suspected
	// returning upstreams came back a moment ago and are not due for the request yet.
	returning
	trusted
)

func (u *upstream) trust(now time.Time, r *request) trust {
	switch {
	case u.misses >= probeMisses:
		return unreachable
	case now.Before(u.suspectUntil):
		return suspected
	case u.held(now, r):
		return returning
	}
	return trusted
}

// settle takes what is left of a request's prompt off the backlog.
func (u *upstream) settle(r *request) {
	u.candidate.Backlog = max(0, u.candidate.Backlog-r.missing)
	r.missing = 0
}

// report takes the requests of other entries out of a load report; this entry's own are known better.
func (u *upstream) report(load Load) {
	others := max(0, load.Running+load.Waiting-u.candidate.Outstanding)
	u.candidate.Others = others
}
