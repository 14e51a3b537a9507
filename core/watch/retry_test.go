package watch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadavalve/core/watch"
)

// TestOutageOfTheStoreCostsFewReads replays an outage of 9 s for a hundred entries that are refused at once: each reads at most twice a second,
// and when the store is back no fifth of them returns within the same 50 ms.
func TestOutageOfTheStoreCostsFewReads(t *testing.T) {
	const outage, entries, bucket = 9 * time.Second, 100, 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	returned := map[time.Duration]int{}
	for entry := range entries {
		var at time.Duration
		failures := 0
		for at < outage {
			failures++
			at += watch.RetryDelay(failures, rng.Float64())
		}
		if most := 2 * int(outage/time.Second); failures > most {
			t.Errorf("entry %d read %d times, at most %d wanted", entry, failures, most)
		}
		if late := at - outage; late > 750*time.Millisecond {
			t.Errorf("entry %d returned %v after the outage", entry, late)
		}
		returned[at/bucket]++
	}
	for at, n := range returned {
		if n > entries/5 {
			t.Errorf("%d of %d entries returned within 50 ms at %v", n, entries, at*bucket)
		}
	}
}

// TestFirstRetriesAreSoon checks the delays after the first failures and after very many.
func TestFirstRetriesAreSoon(t *testing.T) {
	for failures, most := range map[int]time.Duration{0: 190 * time.Millisecond, 1: 190 * time.Millisecond, 2: 380 * time.Millisecond, 1 << 20: 750 * time.Millisecond} {
		for _, fraction := range []float64{0, 0.5, 0.999} {
			if got := watch.RetryDelay(failures, fraction); got <= 100*time.Millisecond || got > most {
				t.Errorf("%v after %d failures, at most %v wanted", got, failures, most)
			}
		}
	}
}
