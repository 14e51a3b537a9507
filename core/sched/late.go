package sched

import "time"

// lateAfter is how long after it was due a tick shows that the entry is late: four times the interval
// of ticks while requests are open.
const lateAfter = 200 * time.Millisecond

// openTickInterval is when the next tick is due after one, where nothing else was told.
const openTickInterval = 50 * time.Millisecond

// lateness tells the times in which the entry itself had too little processor time. What it did
// not hear in such a time is no sign against an upstream.
type lateness struct {
	// due is when the next tick is due, or zero.
	due time.Time
	// to ends the last time in which the entry was late, or is zero.
	to time.Time
}

// ExpectTick tells when the next tick is due.
func (m *Model) ExpectTick(due time.Time) { m.lateness.due = due }

// ticked notes a tick.
func (l *lateness) ticked(now time.Time) {
	if l.late(now) {
		l.to = now
	}
	l.due = now.Add(openTickInterval)
}

func (l *lateness) late(now time.Time) bool {
	return !l.due.IsZero() && now.Sub(l.due) >= lateAfter
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
