package clock_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/clock"
)

// TestSuspendedTimeCounts suspends a VM for 5 s, which Go's clock does not count.
func TestSuspendedTimeCounts(t *testing.T) {
	elapsed := 90 * time.Second
	c := clock.New(func() time.Duration { return elapsed })
	before := c.Now()
	elapsed += 5 * time.Second
	if diff := cmp.Diff(5*time.Second, c.Now().Sub(before)); diff != "" {
		t.Errorf("time that passed (-want +got):\n%s", diff)
	}
}

// TestDeadlinesAreOnGosClock converts a time of the clock.
func TestDeadlinesAreOnGosClock(t *testing.T) {
	const left = time.Hour
	got := time.Until(clock.Deadline(clock.Now().Add(left)))
	if got > left || got < left-time.Minute {
		t.Errorf("%v left until a deadline in %v", got, left)
	}
}
