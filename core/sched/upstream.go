package sched

import (
	"slices"
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
	// seen is true once a load report has come; no request is sent before.
	seen bool
	// misses counts probes without an answer since the last answer.
	misses int
	// outstanding counts this entry's attempts in flight; it is never negative.
	outstanding int
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

func (u *upstream) holds(model ident.ModelName, version ident.Version) bool {
	return slices.Contains(u.load.Loaded, Loaded{model, version})
}

func (u *upstream) serves(service ident.ServiceName) bool {
	return slices.Contains(u.listed.Services, service)
}

func (u *upstream) candidate() route.Candidate {
	return route.Candidate{
		ID:          u.listed.ID,
		Zone:        u.listed.Zone,
		Outstanding: u.outstanding,
		Reported:    u.load.Running + u.load.Waiting,
	}
}
