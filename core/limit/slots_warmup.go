package limit

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// warmLevel is the level from which an upstream takes requests without slots.
const warmLevel = 4

// warmup tracks the warm-up of one upstream after a cold start.
type warmup struct {
	boot ident.BootID
	// level is 0 while the upstream may be cold; each higher level doubles its slots.
	level int
	// levelSince is when the level was set.
	levelSince time.Time
	// successes counts the complete answers since then.
	successes int
	capacity  int
	// suspectUntil is until when a report may predate a suspected reboot; the first report from then on ends
	// the suspicion. It is zero if no reboot is suspected.
	suspectUntil time.Time
	// unreported is true after reports were too rare, until the next report.
	unreported bool
	// running counts this entry's requests on the upstream, whether warm or cold; it is never negative.
	running int
	// lingeringUntil holds, for each request released here that the upstream may still run, until when it may.
	lingeringUntil []time.Time
}

// effectiveLevel returns the level, or 0 while a reboot is suspected or a report is missing.
func (u *warmup) effectiveLevel() int {
	if u.unreported || !u.suspectUntil.IsZero() {
		return 0
	}
	return u.level
}

// grant is the slot that a request has acquired.
type grant struct {
	upstream   ident.UpstreamID
	acquiredAt time.Time
}

// usedSlots returns how many requests the upstream may be running for this entry.
func (u *warmup) usedSlots(now time.Time) int {
	u.lingeringUntil = slices.DeleteFunc(u.lingeringUntil, func(until time.Time) bool { return !now.Before(until) })
	return u.running + len(u.lingeringUntil)
}

func (s *Slots) upstream(now time.Time, id ident.UpstreamID) *warmup {
	u, known := s.upstreams[id]
	if !known {
		u = &warmup{levelSince: now}
		s.upstreams[id] = u
	}
	return u
}

// raiseLevel raises the level by one if it is due: from 0 after Cold, from a higher level after a success,
// or after Cold without one, as this entry may have had no slot to succeed on.
func (u *warmup) raiseLevel(now time.Time, t Timing) {
	if u.level >= warmLevel || now.Sub(u.levelSince) < t.Cold && (u.level == 0 || u.successes == 0) {
		return
	}
	u.level, u.levelSince, u.successes = u.level+1, now, 0
}

// ObserveBoot handles the boot id in an upstream's report; a new one begins a cold start.
func (s *Slots) ObserveBoot(now time.Time, id ident.UpstreamID, boot ident.BootID) {
	u := s.upstream(now, id)
	u.unreported = false
	if !now.Before(u.suspectUntil) {
		u.suspectUntil = time.Time{}
	}
	if u.boot != boot {
		u.boot, u.level, u.levelSince, u.successes = boot, 0, now, 0
		u.lingeringUntil = nil
	}
}

// Warm reports whether an upstream takes requests without slots. It remains so until [Slots.ObserveBoot] gets
// another boot id, or until Chill, SuspectReboot, AwaitReports or Forget is called.
func (s *Slots) Warm(id ident.UpstreamID) bool {
	u, known := s.upstreams[id]
	return known && u.effectiveLevel() >= warmLevel
}

// Chill resets an upstream to cold, for one that may be cold although its boot id is unchanged.
func (s *Slots) Chill(now time.Time, id ident.UpstreamID) {
	u := s.upstream(now, id)
	u.level, u.levelSince, u.successes = 0, now, 0
}

// SuspectReboot marks an upstream that may have stopped or rebooted; it counts as cold until a report that
// arrives at least ReportLag later.
func (s *Slots) SuspectReboot(now time.Time, id ident.UpstreamID) {
	s.upstream(now, id).suspectUntil = now.Add(s.timing.ReportLag)
}

// AwaitReports makes every upstream count as cold until its next report. It is called after a time with too few
// reports, in which a reboot may have gone unnoticed.
func (s *Slots) AwaitReports() {
	for _, u := range s.upstreams {
		u.unreported = true
	}
}

// CountSuccess counts a complete answer of an upstream.
func (s *Slots) CountSuccess(now time.Time, id ident.UpstreamID) { s.upstream(now, id).successes++ }

// Excess returns by how many this entry's requests on an upstream exceed its slots; 0 if the upstream is warm.
func (s *Slots) Excess(now time.Time, id ident.UpstreamID) int {
	u, known := s.upstreams[id]
	if !known || u.effectiveLevel() >= warmLevel {
		return 0
	}
	if len(s.history) == 0 {
		return u.usedSlots(now)
	}
	return max(0, u.usedSlots(now)-s.ownedSlots(id, u.capacity<<u.effectiveLevel()))
}

// Forget resets an upstream that the platform no longer lists to cold, and removes it unless requests may
// still run there.
func (s *Slots) Forget(now time.Time, id ident.UpstreamID) {
	u, known := s.upstreams[id]
	if !known {
		return
	}
	u.boot, u.level, u.levelSince, u.successes = "", 0, now, 0
	if u.usedSlots(now) == 0 {
		delete(s.upstreams, id)
	}
}
