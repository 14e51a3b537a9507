package sched

import "time"

// lateAfter is how long after the last tick the entry counts as late: five times the interval of ticks.
const lateAfter = 250 * time.Millisecond

// lateness tells the times in which the entry itself had too little processor time. What it did
// not hear in such a time is no sign against an upstream.
type lateness struct {
	// tick is when the last tick was handled, or zero.
	tick time.Time
	// to ends the last time in which the entry was late, or is zero.
	to time.Time
}

// ticked notes a tick.
func (l *lateness) ticked(now time.Time) {
	if l.late(now) {
		l.to = now
	}
	l.tick = now
}

func (l *lateness) late(now time.Time) bool {
	return !l.tick.IsZero() && now.Sub(l.tick) >= lateAfter
}

// within reports whether the entry was late at any time since a moment.
func (l *lateness) within(now, since time.Time) bool {
	return l.late(now) || !l.to.IsZero() && !l.to.Before(since)
}

// excused reports whether an attempt was silent in a time in which the entry was late, so that its
// upstream may have spoken. A request has as many excuses as attempts.
func (m *Model) excused(now time.Time, r *request, cause Cause) bool {
	return cause == CauseSilent && r.excuses < m.maxAttempts && m.lateness.within(now, now.Add(-m.silence[r.Class]))
}
