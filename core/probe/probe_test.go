package probe_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/probe"
	"cicadavalve/core/sched"
)

const ms = time.Millisecond

func timing() probe.Timing {
	return probe.Timing{
		MinInterval: 100 * ms, MaxInterval: 5 * time.Second, MaxIdleInterval: 15 * time.Second,
		Rate: 40, IdleRate: 4, IdleDelay: 3 * time.Second,
	}
}

// at returns the start of the tests plus d.
func at(d time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(d) }

func TestIntervalKeepsRatesWithinBounds(t *testing.T) {
	type intervals struct{ Quick, Slow time.Duration }
	var got []intervals
	for _, upstreams := range []int{1, 12, 48, 2700} {
		p := probe.NewPace(timing())
		p.RecordReport(at(0), sched.Load{BootID: "b"})
		got = append(got, intervals{p.Interval(at(0), upstreams, true), p.Interval(at(time.Minute), upstreams, true)})
	}
	want := []intervals{
		{100 * ms, 250 * ms}, {300 * ms, 3 * time.Second}, {1200 * ms, 12 * time.Second}, {5 * time.Second, 15 * time.Second},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("intervals (-want +got):\n%s", diff)
	}
}

func TestActivityKeepsProbesFrequent(t *testing.T) {
	idle := sched.Load{BootID: "b", Loaded: []sched.Loaded{{Model: "m", Version: "v1"}}}
	activities := map[string]func(*probe.Pace, time.Time){
		"none":   func(p *probe.Pace, now time.Time) { p.RecordReport(now, idle) },
		"missed": func(p *probe.Pace, now time.Time) { p.RecordMiss(now) },
		"running": func(p *probe.Pace, now time.Time) {
			p.RecordReport(now, sched.Load{BootID: "b", Running: 1, Loaded: idle.Loaded})
		},
		"waiting": func(p *probe.Pace, now time.Time) {
			p.RecordReport(now, sched.Load{BootID: "b", Waiting: 1, Loaded: idle.Loaded})
		},
		"boot":    func(p *probe.Pace, now time.Time) { p.RecordReport(now, sched.Load{BootID: "c", Loaded: idle.Loaded}) },
		"version": func(p *probe.Pace, now time.Time) { p.RecordReport(now, sched.Load{BootID: "b"}) },
	}
	type intervals struct{ AtOnce, BeforeIdle, Idle time.Duration }
	slow, quick := 3*time.Second, 300*ms
	want := map[string]intervals{}
	got := map[string]intervals{}
	for name, act := range activities {
		want[name] = intervals{quick, quick, slow}
		p := probe.NewPace(timing())
		p.RecordReport(at(0), idle)
		act(p, at(time.Minute))
		got[name] = intervals{
			p.Interval(at(time.Minute), 12, true), p.Interval(at(time.Minute+2999*ms), 12, true),
			p.Interval(at(time.Minute+3*time.Second), 12, true),
		}
	}
	want["none"] = intervals{slow, slow, slow}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("intervals after activity (-want +got):\n%s", diff)
	}
}

func TestEntryWorkKeepsAllProbesFrequent(t *testing.T) {
	a := probe.NewActivity(at(0), timing())
	p := probe.NewPace(timing())
	p.RecordReport(at(0), sched.Load{BootID: "b"})
	type step struct {
		After    time.Duration
		Working  bool
		Woke     bool
		Interval time.Duration
	}
	steps := []step{
		{After: 2 * time.Second}, {After: 4 * time.Second}, {After: 5 * time.Second, Working: true},
		{After: 6 * time.Second, Working: true}, {After: 8 * time.Second}, {After: 9 * time.Second},
	}
	var got []step
	for _, s := range steps {
		s.Woke = a.RecordWork(at(s.After), s.Working)
		s.Interval = p.Interval(at(s.After), 12, a.IsIdle(at(s.After)))
		got = append(got, s)
	}
	want := []step{
		{2 * time.Second, false, false, 300 * ms}, {4 * time.Second, false, false, 3 * time.Second},
		{5 * time.Second, true, true, 300 * ms}, {6 * time.Second, true, false, 300 * ms},
		{8 * time.Second, false, false, 300 * ms}, {9 * time.Second, false, false, 3 * time.Second},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("activity (-want +got):\n%s", diff)
	}
}
