package sched

import "time"

// lagThreshold is the delay of a tick from which the entry counts as lagging: four times openTickInterval.
const lagThreshold = 200 * time.Millisecond

// openTickInterval is the expected interval of ticks while requests are open, unless [Model.ExpectTick] sets
// another time.
const openTickInterval = 50 * time.Millisecond

// lagTracker detects when the entry itself was short of processor time. A missing answer in such a period is
// not evidence against an upstream.
type lagTracker struct {
	// nextTick is when the next tick is due; zero before the first.
	nextTick time.Time
	// lastLag is the end of the last lag, or zero.
	lastLag time.Time
}

// ExpectTick sets when the next tick is due.
func (m *Model) ExpectTick(due time.Time) { m.lag.nextTick = due }

// observeTick records a tick, and a lag if the tick was late.
func (l *lagTracker) observeTick(now time.Time) {
	if l.lagging(now) {
		l.lastLag = now
	}
	l.nextTick = now.Add(openTickInterval)
}

// lagging reports whether the next tick is overdue by lagThreshold.
func (l *lagTracker) lagging(now time.Time) bool {
	return !l.nextTick.IsZero() && now.Sub(l.nextTick) >= lagThreshold
}

// laggedSince reports whether the entry lagged at any time since the given time.
func (l *lagTracker) laggedSince(now, since time.Time) bool {
	return l.lagging(now) || !l.lastLag.IsZero() && !l.lastLag.Before(since)
}

// causedByLag reports whether an attempt failed as silent while the entry lagged, so that its upstream may
// have answered. This applies at most maxAttempts times per request.
func (m *Model) causedByLag(now time.Time, r *request, cause Cause) bool {
	return cause == CauseSilent && r.lagResends < m.maxAttempts &&
		m.lag.laggedSince(now, now.Add(-m.silenceTimeouts[r.Class]))
}
