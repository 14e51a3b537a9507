package limit

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// warmLevel is the level at which an upstream takes work without slots.
const warmLevel = 4

// warmth is how far one upstream has come on its way up after a cold start.
type warmth struct {
	boot ident.BootID
	// level is 0 while the upstream may be cold; each level above doubles its slots.
	level int
	// since is when the level was reached.
	since time.Time
	// successes counts the whole answers since then.
	successes int
	bears     int
	// doubt is until when reports may be from before a boot that this entry suspects; the first report
	// after it settles the matter. It is zero where nothing is suspected.
	doubt time.Time
	// unsure is true from a time in which reports were rare to the next report.
	unsure bool
	// running counts this entry's requests on the upstream, warm or cold; it is never negative.
	running int
	// lingering holds until when each request may run on that ended here and perhaps not there.
	lingering []time.Time
}

// step is the level that counts now.
func (u *warmth) step() int {
	if u.unsure || !u.doubt.IsZero() {
		return 0
	}
	return u.level
}

// grant is what one request has acquired.
type grant struct {
	upstream ident.UpstreamID
	since    time.Time
}

// used counts the requests that the upstream may run for this entry.
func (u *warmth) used(now time.Time) int {
	u.lingering = slices.DeleteFunc(u.lingering, func(until time.Time) bool { return !now.Before(until) })
	return u.running + len(u.lingering)
}

func (s *Slots) get(now time.Time, id ident.UpstreamID) *warmth {
	u, known := s.upstreams[id]
	if !known {
		u = &warmth{since: now}
		s.upstreams[id] = u
	}
	return u
}

// warmUp raises the level: the first time after the longest cold time, and then on success,
// or after a time in which this entry had no slot to succeed on.
func (u *warmth) warmUp(now time.Time, t Timing) {
	if u.level >= warmLevel || now.Sub(u.since) < t.Cold && (u.level == 0 || u.successes == 0) {
		return
	}
	u.level, u.since, u.successes = u.level+1, now, 0
}

// Seen takes the boot id of an upstream's report; a new one begins a cold start.
func (s *Slots) Seen(now time.Time, id ident.UpstreamID, boot ident.BootID) {
	u := s.get(now, id)
	u.unsure = false
	if !now.Before(u.doubt) {
		u.doubt = time.Time{}
	}
	if u.boot != boot {
		u.boot, u.level, u.since, u.successes = boot, 0, now, 0
		u.lingering = nil
	}
}

// Warm reports whether an upstream takes every request until it is seen under another boot or chilled.
func (s *Slots) Warm(id ident.UpstreamID) bool {
	u, known := s.upstreams[id]
	return known && u.step() >= warmLevel
}

// Chill says that an upstream may be cold although its boot id is the same.
func (s *Slots) Chill(now time.Time, id ident.UpstreamID) {
	u := s.get(now, id)
	u.level, u.since, u.successes = 0, now, 0
}

// Doubt says that an upstream may have gone; it counts as cold until a report that comes
// ReportLag later.
func (s *Slots) Doubt(now time.Time, id ident.UpstreamID) {
	s.get(now, id).doubt = now.Add(s.timing.ReportLag)
}

// Unsure says that reports were rare: every upstream counts as cold until its next one.
func (s *Slots) Unsure() {
	for _, u := range s.upstreams {
		u.unsure = true
	}
}

// Succeeded counts a whole answer of an upstream.
func (s *Slots) Succeeded(now time.Time, id ident.UpstreamID) { s.get(now, id).successes++ }

// Excess is how many more requests this entry runs on an upstream than its slots allow.
func (s *Slots) Excess(now time.Time, id ident.UpstreamID) int {
	u, known := s.upstreams[id]
	if !known || u.step() >= warmLevel {
		return 0
	}
	if len(s.history) == 0 {
		return u.used(now)
	}
	return max(0, u.used(now)-s.owned(id, u.bears<<u.step()))
}

// Forget drops an upstream that the platform's list no longer shows.
func (s *Slots) Forget(now time.Time, id ident.UpstreamID) {
	u, known := s.upstreams[id]
	if !known {
		return
	}
	u.boot, u.level, u.since, u.successes = "", 0, now, 0
	if u.used(now) == 0 {
		delete(s.upstreams, id)
	}
}
