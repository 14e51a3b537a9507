package times_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/times"
)

// TestDurationOutOfRangeIsBounded converts numbers of which a plain conversion makes different times on different architectures, or some
// that overflow when they are added to another.
func TestDurationOutOfRangeIsBounded(t *testing.T) {
	const most = time.Duration(1 << 62)
	for ns, want := range map[float64]time.Duration{
		math.Inf(1): most, math.Inf(-1): -most, 1e300: most, -1e300: -most, 1 << 63: most, -(1 << 63): -most, 1.9: 1, -1.9: -1, 0: 0, 1e15: 1e15,
	} {
		if diff := cmp.Diff(want, times.Duration(ns)); diff != "" {
			t.Errorf("%g (-want +got):\n%s", ns, diff)
		}
	}
	if diff := cmp.Diff(time.Duration(0), times.Duration(math.NaN())); diff != "" {
		t.Errorf("NaN (-want +got):\n%s", diff)
	}
}
