package retry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/retry"
)

// TestWindowBoundsEverySpan draws first attempts and retries, and checks the limit in every span that ends at a retry.
func TestWindowBoundsEverySpan(t *testing.T) {
	const span, ratio, allowance = 10 * time.Second, 0.2, 5.0
	rapid.Check(t, func(t *rapid.T) {
		w := retry.NewWindow(span, ratio, allowance)
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.First(now)
				firsts = append(firsts, now)
			} else if w.Withdraw(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			// The window covers between 19 and 20 of its slices, so the check compares the retries of a somewhat shorter
			// span with the first attempts of a somewhat longer one.
			limit := ratio*float64(countWithin(firsts, end, span+span/10)) + allowance
			if got := float64(countWithin(retries, end, span-span/10)); got > limit {
				t.Fatalf("%v retries in a span that allows %v", got, limit)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time, span time.Duration) (n int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}

// TestMayDependsOnRouteKind checks which requests may be sent to another upstream, by route kind and ending.
func TestMayDependsOnRouteKind(t *testing.T) {
	routes := []conf.Route{
		{Kind: conf.Once, MaxAttempts: 2}, {Kind: conf.Repeat, MaxAttempts: 2}, {Kind: conf.Stream, MaxAttempts: 2},
		{Kind: conf.Stream, MaxAttempts: 2, Resumable: true}, {Kind: conf.Repeat, MaxAttempts: 1},
	}
	got := map[retry.Ending][]bool{}
	for i := range routes {
		for _, ending := range []retry.Ending{retry.NotSent, retry.NotRun, retry.Unknown, retry.Failure} {
			history := retry.History{NotRun: 1}
			if ending == retry.Unknown || ending == retry.Failure {
				history = retry.History{Runs: 1}
			}
			got[ending] = append(got[ending], retry.May(&routes[i], ending, history))
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
