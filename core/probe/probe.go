// Package probe decides how often an entry asks each upstream for its load report: quickly
// while something rests on the report, and slowly else.
package probe

import (
	"slices"
	"time"

	"cicadavalve/core/sched"
)

// Timing bounds the time between two probes of one upstream.
type Timing struct {
	// Shortest bounds every interval, Longest the quick ones and LongestIdle the slow ones; none is
	// above the next.
	Shortest    time.Duration
	Longest     time.Duration
	LongestIdle time.Duration
	// Rate is the probes a second over all upstreams while something rests on their reports, and
	// IdleRate else; both are above 0 and count only within the bounds.
	Rate     float64
	IdleRate float64
	// Calm is how long after the last sign of work the reports stay quick.
	Calm time.Duration
}

// quick is the interval while something rests on the reports.
func (t Timing) quick(upstreams int) time.Duration { return t.interval(upstreams, t.Rate, t.Longest) }

// slow is the interval else; it is never below the quick one.
func (t Timing) slow(upstreams int) time.Duration {
	return max(t.quick(upstreams), t.interval(upstreams, t.IdleRate, t.LongestIdle))
}

// interval keeps a rate over all upstreams within the bounds.
func (t Timing) interval(upstreams int, rate float64, longest time.Duration) time.Duration {
	shared := time.Duration(float64(upstreams) / rate * float64(time.Second))
	return min(max(shared, t.Shortest), longest)
}

// Activity knows when the entry last had work of its own.
type Activity struct {
	calm time.Duration
	last time.Time
}

// NewActivity is the activity of an entry that starts now; a start counts as work.
func NewActivity(now time.Time, t Timing) *Activity { return &Activity{calm: t.Calm, last: now} }

// Note tells whether the entry has work now, and reports whether that ends a calm, in which
// the reports of the upstreams have grown old.
func (a *Activity) Note(now time.Time, working bool) (woke bool) {
	if !working {
		return false
	}
	woke = a.Calm(now)
	a.last = now
	return woke
}

// Calm reports whether the entry has had no work for a while.
func (a *Activity) Calm(now time.Time) bool { return now.Sub(a.last) >= a.calm }

// Pace decides when one upstream is asked again.
type Pace struct {
	timing Timing
	load   sched.Load
	seen   bool
	// signed is when the upstream last gave a sign of work or of a change.
	signed time.Time
}

// NewPace is the pace of an upstream that has not answered yet.
//
//	pace := probe.NewPace(timing)
//	pace.Reported(now, load)
//	wait := pace.Interval(now, len(upstreams), activity.Calm(now))
func NewPace(t Timing) *Pace { return &Pace{timing: t} }

// Reported takes a load report: work, another boot or other versions are a sign.
func (p *Pace) Reported(now time.Time, load sched.Load) {
	changed := !p.seen || load.BootID != p.load.BootID || !slices.Equal(load.Loaded, p.load.Loaded)
	if changed || load.Running+load.Waiting > 0 {
		p.signed = now
	}
	p.load, p.seen = load, true
}

// Missed takes a probe without an answer, which is a sign.
func (p *Pace) Missed(now time.Time) { p.signed = now }

// Interval is the time to the next probe. Calm is whether the entry has had no work for a while.
func (p *Pace) Interval(now time.Time, upstreams int, calm bool) time.Duration {
	if !calm || now.Sub(p.signed) < p.timing.Calm {
		return p.timing.quick(upstreams)
	}
	return p.timing.slow(upstreams)
}
