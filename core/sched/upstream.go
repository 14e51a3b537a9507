package sched

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// probeMisses is how many probes in a row an upstream may miss before it gets no new work.
const probeMisses = 2

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
}

func (u *upstream) usable(now time.Time) bool {
	return u.seen && !u.listed.Leaving && u.misses < probeMisses && !now.Before(u.suspectUntil)
}

func (u *upstream) holds(model ident.ModelName, version ident.Version) bool {
	return slices.Contains(u.load.Loaded, Loaded{model, version})
}

func (u *upstream) serves(service ident.ServiceName) bool {
	return slices.Contains(u.listed.Services, service)
}

// runs reports whether the upstream serves what the request is for.
func (u *upstream) runs(r *request) bool {
	if r.Service != "" {
		return u.listed.Role == RoleApp && u.serves(r.Service)
	}
	return u.listed.Role == RoleEngine && u.holds(r.Model, r.version)
}

func (u *upstream) candidate() route.Candidate {
	return route.Candidate{
		ID:          u.listed.ID,
		Zone:        u.listed.Zone,
		Outstanding: u.outstanding,
		Reported:    u.load.Running + u.load.Waiting,
	}
}
