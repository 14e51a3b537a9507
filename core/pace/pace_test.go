package pace_test

import (
	stdcmp "cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cicadavalve/core/ident"
	"cicadavalve/core/pace"
)

var start = time.Unix(1000, 0)

// engines replays upstreams of one service, of which every third is base times slower than the others. Each is slow for a share of the
// time, in pieces of a mean duration, and answers at random moments.
type engines struct {
	m        *pace.Model
	rng      *rand.Rand
	base     float64
	share    float64
	factor   float64
	piece    time.Duration
	interval time.Duration
	born     int64
	slow     [12]bool
}

const step = 10 * time.Millisecond

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("e%02d", i)) }

func newEngines(base, share float64, piece, interval time.Duration) *engines {
	return &engines{m: pace.NewModel(), rng: rand.New(rand.NewPCG(1, 2)), base: base, share: share, factor: 2.5, piece: piece, interval: interval, born: 1}
}

func (e *engines) speed(i int) float64 {
	if i%3 == 0 {
		return e.base
	}
	return 1
}

// run replays from one time to another. Change may replace what an upstream states, and how long it takes.
func (e *engines) run(from, to time.Time, change func(i int, now time.Time, stated, takes float64) (float64, float64)) {
	for now := from; now.Before(to); now = now.Add(step) {
		for i := range e.slow {
			if e.rng.Float64() < float64(step)/float64(e.piece) {
				e.slow[i] = e.rng.Float64() < e.share
			}
			if e.rng.Float64() >= float64(step)/float64(e.interval) {
				continue
			}
			stated := 1.0
			if e.slow[i] {
				stated = e.factor
			}
			takes := stated * e.speed(i)
			if change != nil {
				stated, takes = change(i, now, stated, takes)
			}
			e.answer(i, now, stated, takes)
		}
	}
}

func (e *engines) answer(i int, now time.Time, stated, takes float64) {
	noise := math.Exp(0.2 * e.rng.NormFloat64())
	e.m.Update(now, pace.ReportMsg{Service: "llm", Upstream: engineID(i), Born: e.born, Slowdown: stated, At: now})
	e.m.Update(now, pace.SampleMsg{Service: "llm", Upstream: engineID(i), Born: e.born, Ratio: takes * noise, Slowdown: stated})
}

// relative returns the factor of an upstream beside that of another one.
func (e *engines) relative(now time.Time, i, beside int) float64 {
	one, _ := e.m.Factor(now, engineID(i), e.born)
	other, _ := e.m.Factor(now, engineID(beside), e.born)
	return one / other
}

// TestLongTermSpeed replays a minute of answers and compares an upstream with one of the usual speed, long after the last statement. A model
// that takes the present slowdown, one slow moment or a wrong statement for the speed sends too little to it for minutes.
func TestLongTermSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		base, share, want, margin float64
		// after is the time since the last answer, 5 s if it is 0.
		after  time.Duration
		change func(i int, now time.Time, stated, takes float64) (float64, float64)
	}{
		"a third is 1.3 times slower":            {base: 1.3, want: 1.3, margin: 0.13},
		"not tried for long":                     {base: 1.3, want: 1, margin: 0.02, after: 10 * time.Minute},
		"slow at times, which is stated":         {base: 1.3, share: 0.15, want: 1.3, margin: 0.13},
		"slow for 5 s, which is not stated":      {base: 1, want: 1, margin: 0.35, change: slowAtEnd(1)},
		"slow for 5 s, which is stated":          {base: 1, want: 1, margin: 0.1, change: slowAtEnd(2.5)},
		"one states 0":                           {base: 1, want: 1, margin: 0.1, change: states(0)},
		"one states 10,000":                      {base: 1, want: 1, margin: 0.1, change: states(10_000)},
		"one states not a number":                {base: 1, want: 1, margin: 0.1, change: states(math.NaN())},
		"one request waited behind unknown work": {base: 1, want: 1, margin: 0.2, change: onceAtEnd(100)},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngines(c.base, c.share, 600*time.Millisecond, 200*time.Millisecond)
			end := start.Add(time.Minute)
			e.run(start, end, c.change)
			if diff := cmp.Diff(c.want, e.relative(end.Add(stdcmp.Or(c.after, 5*time.Second)), 3, 4), cmpopts.EquateApprox(0, c.margin)); diff != "" {
				t.Errorf("factor (-want +got):\n%s", diff)
			}
		})
	}
}

// slowAtEnd makes the fourth upstream slow for the last 5 s of the minute, while it states a slowdown.
func slowAtEnd(stating float64) func(int, time.Time, float64, float64) (float64, float64) {
	return func(i int, now time.Time, stated, takes float64) (float64, float64) {
		if i == 3 && now.Sub(start) >= 55*time.Second {
			return stating, 2.5 * takes
		}
		return stated, takes
	}
}

func states(stating float64) func(int, time.Time, float64, float64) (float64, float64) {
	return func(i int, _ time.Time, stated, takes float64) (float64, float64) {
		if i == 3 {
			return stating, takes
		}
		return stated, takes
	}
}

func onceAtEnd(factor float64) func(int, time.Time, float64, float64) (float64, float64) {
	done := false
	return func(i int, now time.Time, stated, takes float64) (float64, float64) {
		if i == 3 && !done && now.Sub(start) >= 59*time.Second {
			done = true
			return stated, factor * takes
		}
		return stated, takes
	}
}

// TestPersistenceIsMeasured replays slowdowns of several durations. Taken too long, old statements are followed; taken too short, the new
// ones aren't.
func TestPersistenceIsMeasured(t *testing.T) {
	for _, piece := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond} {
			for _, share := range []float64{0.15, 0.4} {
				e := newEngines(1, share, piece, interval)
				end := start.Add(2 * time.Minute)
				e.run(start, end, nil)
				got := e.m.Summary(end).Persistence
				t.Logf("pieces of %v, slow for %.2f, answers every %v: %v", piece, share, interval, got)
				if got < piece/2 || got > 2*piece {
					t.Errorf("pieces of %v, slow for %.2f, answers every %v: persistence %v", piece, share, interval, got)
				}
			}
		}
	}
}

// TestStatementIsWorthLessWithAge checks the factor of an upstream after its last statements.
func TestStatementIsWorthLessWithAge(t *testing.T) {
	report := func(born int64, slowdown float64, absent bool, at time.Duration) pace.ReportMsg {
		return pace.ReportMsg{Service: "llm", Upstream: "e1", Born: born, Slowdown: slowdown, Absent: absent, At: start.Add(at)}
	}
	type result struct {
		Factor float64
		Stated bool
	}
	for name, c := range map[string]struct {
		msgs []ident.Msg
		born int64
		want result
	}{
		"none":                         {nil, 1, result{1, false}},
		"new":                          {[]ident.Msg{report(1, 2.5, false, time.Second)}, 1, result{2.5, true}},
		"as old as slowdowns last":     {[]ident.Msg{report(1, 2.5, false, 400*time.Millisecond)}, 1, result{1 + 1.5/math.E, true}},
		"a minute old":                 {[]ident.Msg{report(1, 2.5, false, -time.Minute)}, 1, result{1, true}},
		"older one arrives late":       {[]ident.Msg{report(1, 1, false, time.Second), report(1, 2.5, false, 0)}, 1, result{1, true}},
		"0":                            {[]ident.Msg{report(1, 0, false, time.Second)}, 1, result{0.8, true}},
		"10,000":                       {[]ident.Msg{report(1, 10_000, false, time.Second)}, 1, result{5, true}},
		"of the future":                {[]ident.Msg{report(1, 2.5, false, time.Hour)}, 1, result{1, false}},
		"no longer stated":             {[]ident.Msg{report(1, 2.5, false, 0), report(1, 0, true, time.Second)}, 1, result{1, false}},
		"restarted, no answer":         {[]ident.Msg{report(1, 2.5, false, time.Second)}, 2, result{1, false}},
		"restarted, answered":          {[]ident.Msg{report(1, 2.5, false, time.Second), report(2, 1, false, time.Second)}, 2, result{1, true}},
		"answer from before a restart": {[]ident.Msg{report(2, 1, false, 0), report(1, 2.5, false, time.Second)}, 2, result{1, true}},
		"removed":                      {[]ident.Msg{report(1, 2.5, false, time.Second), pace.GoneMsg{Upstream: "e1"}}, 1, result{1, false}},
	} {
		m, now := pace.NewModel(), start.Add(time.Second)
		for _, msg := range c.msgs {
			m.Update(now, msg)
		}
		var got result
		got.Factor, got.Stated = m.Factor(now, "e1", c.born)
		if diff := cmp.Diff(c.want, got, cmpopts.EquateApprox(0, 0.01)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		if m.States("llm") != (m.Stating() > 0) || m.Stating() > 1 {
			t.Errorf("%s: %d state their slowdown", name, m.Stating())
		}
	}
}

// TestRestartKeepsTheSpeed restarts all upstreams. The new incarnations must be taken for as fast as the old ones, and be measured anew
// within a few answers: they may run on other VMs.
func TestRestartKeepsTheSpeed(t *testing.T) {
	e := newEngines(1.3, 0, 600*time.Millisecond, 200*time.Millisecond)
	end := start.Add(time.Minute)
	e.run(start, end, nil)
	e.born, e.base = 2, 2
	for i := range e.slow {
		e.m.Update(end, pace.ReportMsg{Service: "llm", Upstream: engineID(i), Born: 2, Slowdown: 1, At: end})
	}
	if got := e.relative(end, 3, 4); math.Abs(got-1.3) > 0.13 {
		t.Errorf("%.2f times slower after the restart", got)
	}
	end = end.Add(step)
	e.run(end, end.Add(4*time.Second), nil)
	if got := e.relative(end.Add(4*time.Second), 3, 4); math.Abs(got-2) > 0.3 {
		t.Errorf("%.2f times slower on the new VM", got)
	}
}
