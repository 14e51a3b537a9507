// Package probe decides how often an entry probes each upstream for its load report: frequently
// while the entry or the upstream is active, and rarely while both are idle.
package probe

import (
	"slices"
	"time"

	"cicadavalve/core/sched"
)

// Timing bounds the time between two probes of one upstream.
type Timing struct {
	// MinInterval is the minimum of every interval, MaxInterval the maximum while active and MaxIdleInterval
	// the maximum while idle. MinInterval <= MaxInterval <= MaxIdleInterval.
	MinInterval     time.Duration
	MaxInterval     time.Duration
	MaxIdleInterval time.Duration
	// Rate is the number of probes per second over all upstreams while active, IdleRate while idle.
	// Both are above 0 and apply within the bounds of the interval.
	Rate     float64
	IdleRate float64
	// IdleDelay is how long after the last activity probes stay frequent.
	IdleDelay time.Duration
}

// busyInterval returns the interval while active.
func (t Timing) busyInterval(upstreams int) time.Duration {
	return t.interval(upstreams, t.Rate, t.MaxInterval)
}

// idleInterval returns the interval while idle; it is never below busyInterval.
func (t Timing) idleInterval(upstreams int) time.Duration {
	return max(t.busyInterval(upstreams), t.interval(upstreams, t.IdleRate, t.MaxIdleInterval))
}

// interval spreads a rate over all upstreams and keeps the result within the bounds.
func (t Timing) interval(upstreams int, rate float64, maxInterval time.Duration) time.Duration {
	shared := time.Duration(float64(upstreams) / rate * float64(time.Second))
	return min(max(shared, t.MinInterval), maxInterval)
}

// Activity tracks when the entry last had work of its own.
type Activity struct {
	idleDelay time.Duration
	lastWork  time.Time
}

// NewActivity returns the activity of an entry that starts now; a start counts as work.
func NewActivity(now time.Time, t Timing) *Activity {
	return &Activity{idleDelay: t.IdleDelay, lastWork: now}
}

// RecordWork records whether the entry has work now, and reports whether that ends an idle period, in
// which the reports of the upstreams have become old.
func (a *Activity) RecordWork(now time.Time, working bool) (woke bool) {
	if !working {
		return false
	}
	woke = a.IsIdle(now)
	a.lastWork = now
	return woke
}

// IsIdle reports whether the entry is idle: it has had no work for at least [Timing.IdleDelay].
func (a *Activity) IsIdle(now time.Time) bool { return now.Sub(a.lastWork) >= a.idleDelay }

// Pace decides when one upstream is probed next.
type Pace struct {
	timing   Timing
	lastLoad sched.Load
	hasLoad  bool
	// lastActivity is when the upstream last had work, changed or missed a probe.
	lastActivity time.Time
}

// NewPace returns the pace of an upstream that has not answered yet.
//
//	pace := probe.NewPace(timing)
//	pace.RecordReport(now, load)
//	wait := pace.Interval(now, len(upstreams), activity.IsIdle(now))
func NewPace(t Timing) *Pace { return &Pace{timing: t} }

// RecordReport records a load report. Work, another boot or other loaded versions count as activity.
func (p *Pace) RecordReport(now time.Time, load sched.Load) {
	changed := !p.hasLoad || load.BootID != p.lastLoad.BootID || !slices.Equal(load.Loaded, p.lastLoad.Loaded)
	if changed || load.Running+load.Waiting > 0 {
		p.lastActivity = now
	}
	p.lastLoad, p.hasLoad = load, true
}

// RecordMiss records a probe without an answer, which counts as activity.
func (p *Pace) RecordMiss(now time.Time) { p.lastActivity = now }

// Interval returns the time to the next probe; idle reports whether the entry is idle.
func (p *Pace) Interval(now time.Time, upstreams int, idle bool) time.Duration {
	if !idle || now.Sub(p.lastActivity) < p.timing.IdleDelay {
		return p.timing.busyInterval(upstreams)
	}
	return p.timing.idleInterval(upstreams)
}
