package daemon

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// Entries learn of new upstreams at different times, so that one may hear what an incarnation says before it is listed here.

const (
	// earlyTTL is how long a statement is kept for the listing of its incarnation.
	earlyTTL = 10 * time.Second
	// maxEarly bounds the statements that are kept.
	maxEarly = 200
)

// earlyStatement is a statement of an incarnation that is not listed yet.
type earlyStatement struct {
	upstream ident.UpstreamID
	born     int64
	until    time.Time
	apply    func(now time.Time)
}

// whenListed applies a statement of an incarnation that another entry tells, at once or when it is listed here; the lock is held.
func (d *Controller) whenListed(now time.Time, upstream string, born int64, apply func(now time.Time)) {
	id := ident.UpstreamID(upstream)
	if u, listed := d.fleet.Get(id); listed && u.Born >= born {
		apply(now)
		return
	}
	d.early = slices.DeleteFunc(d.early, func(s earlyStatement) bool { return !now.Before(s.until) })
	if len(d.early) >= maxEarly {
		d.log.Debug("statement_not_kept", "upstream", id, "born", born)
		return
	}
	d.early = append(d.early, earlyStatement{id, born, now.Add(earlyTTL), apply})
}

// applyEarly applies the statements kept for an incarnation that is listed now, and drops those of older ones; the lock is held.
func (d *Controller) applyEarly(now time.Time, id ident.UpstreamID, born int64) {
	kept := d.early
	d.early = nil
	for _, s := range kept {
		switch {
		case s.upstream != id || s.born > born:
			d.early = append(d.early, s)
		case s.born == born && now.Before(s.until):
			s.apply(now)
		}
	}
}
