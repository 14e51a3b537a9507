package retry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/retry"
)

// TestWindowBoundsEverySpan draws first and further attempts and checks every span of the window's length.
func TestWindowBoundsEverySpan(t *testing.T) {
	const span, ratio, allowance = 10 * time.Second, 0.2, 5.0
	rapid.Check(t, func(t *rapid.T) {
		w := retry.NewWindow(span, ratio, allowance)
		now := time.Unix(1000, 0)
		var firsts, extras []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.First(now)
				firsts = append(firsts, now)
			} else if w.Withdraw(now) {
				extras = append(extras, now)
			}
		}
		for _, end := range extras {
			// A slice may leave the window one slice early, so the firsts of one window more may have counted.
			most := ratio*float64(within(firsts, end, span+span/10)) + allowance
			if got := float64(within(extras, end, span-span/10)); got > most {
				t.Fatalf("%v further attempts in a span that allows %v", got, most)
			}
		}
	})
}

func within(times []time.Time, end time.Time, span time.Duration) (n int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}

// TestMayFollowsTheKind checks which requests may go to another upstream.
func TestMayFollowsTheKind(t *testing.T) {
	kinds := []conf.Route{
		{Kind: conf.Once, Attempts: 2}, {Kind: conf.Repeat, Attempts: 2}, {Kind: conf.Stream, Attempts: 2},
		{Kind: conf.Stream, Attempts: 2, Resumable: true}, {Kind: conf.Repeat, Attempts: 1},
	}
	got := map[retry.Ending][]bool{}
	for i := range kinds {
		for _, ending := range []retry.Ending{retry.NotSent, retry.NotRun, retry.Unknown, retry.Failure} {
			past := retry.Past{Spared: 1}
			if ending == retry.Unknown || ending == retry.Failure {
				past = retry.Past{Runs: 1}
			}
			got[ending] = append(got[ending], retry.May(&kinds[i], ending, past))
		}
	}
	want := map[retry.Ending][]bool{
		retry.NotSent: {true, true, true, true, true},
		retry.NotRun:  {true, true, true, true, true},
		retry.Unknown: {false, true, false, true, false},
		retry.Failure: {false, true, false, false, false},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("may be sent again: once, repeat, stream, resumable, one attempt (-want +got):\n%s", diff)
	}
}
