package roll_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/roll"
)

const (
	moveTime = 2 * time.Minute
	// seeds is how many good versions are moved; each bad kind takes a tenth.
	seeds = 100
)

// badKinds are the ways in which a version can be bad.
var badKinds = map[string]quality{
	"fails":          func(*sim, ident.Class) (float64, float64) { return 0.5, 1 },
	"slow":           func(*sim, ident.Class) (float64, float64) { return 0.003, 4 },
	"fails later":    func(s *sim, _ ident.Class) (float64, float64) { return after(s, 30*time.Second, 0.5, 0.003), 1 },
	"slow later":     func(s *sim, _ ident.Class) (float64, float64) { return 0.003, after(s, 30*time.Second, 4, 1) },
	"fails on route": func(_ *sim, c ident.Class) (float64, float64) { return onRoute(c, 0.5, 0.003), 1 },
	"slow on route":  func(_ *sim, c ident.Class) (float64, float64) { return 0.003, onRoute(c, 4, 1) },
	"fails from 16%": func(s *sim, _ ident.Class) (float64, float64) { return aboveShare(s, 0.5, 0.003), 1 },
	"slow above 16%": func(s *sim, _ ident.Class) (float64, float64) { return 0.003, aboveShare(s, 4, 1) },
}

func after(s *sim, d time.Duration, bad, fine float64) float64 {
	if s.now.Sub(simStart) < d {
		return fine
	}
	return bad
}

func onRoute(c ident.Class, bad, fine float64) float64 {
	if c != ident.Deferred {
		return fine
	}
	return bad
}

func aboveShare(s *sim, bad, fine float64) float64 {
	if s.models[0].Moves()[0].Share < 0.16 {
		return fine
	}
	return bad
}

// onSeeds runs a check on one simulation per seed, several at a time.
func onSeeds(t *testing.T, n int, by time.Duration, bad quality, check func(t *testing.T, s *sim)) {
	t.Helper()
	for seed := range uint64(n) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			check(t, newSim(seed, 3, by, bad))
		})
	}
}

func TestGoodVersionsAreMovedInTime(t *testing.T) {
	type result struct {
		Phases []roll.Phase
		Loads  int
		Share  float64
	}
	want := result{Phases: []roll.Phase{roll.Complete, roll.Complete, roll.Complete}, Loads: 2, Share: 1}
	onSeeds(t, seeds, moveTime, good, func(t *testing.T, s *sim) {
		s.until(moveTime, func() bool { return s.all(roll.Complete) || s.all(roll.TakenBack) })
		got := result{Phases: s.phases(), Loads: s.mostLoads, Share: s.models[0].Moves()[0].Share}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("move (-want +got):\n%s", diff)
		}
	})
}

// TestBadVersionsAreTakenBack bounds the share that a bad version got, counted from when it showed.
func TestBadVersionsAreTakenBack(t *testing.T) {
	for name, bad := range badKinds {
		onSeeds(t, seeds/10, moveTime, bad, func(t *testing.T, s *sim) {
			if !s.until(moveTime, func() bool { return s.all(roll.TakenBack) }) {
				s.pinned(t, name+": the version was not taken back")
			}
			all := s.started["v1"] + s.started["v2"]
			t.Logf("%s: share %.3f, taken back after %v", name, float64(s.started["v2"])/float64(all), s.now.Sub(simStart))
			s.started["v2"] = 0
			s.until(10*time.Second, func() bool { return false })
			if diff := cmp.Diff(0, s.started["v2"]); diff != "" {
				t.Errorf("%s: new requests after the take-back (-want +got):\n%s", name, diff)
			}
		})
	}
}

// TestShortDeadlineIsSaidEarlyAndNotForced orders a move in less time than its evidence takes.
func TestShortDeadlineIsSaidEarlyAndNotForced(t *testing.T) {
	const by = 15 * time.Second
	onSeeds(t, 10, by, good, func(t *testing.T, s *sim) {
		s.until(by, func() bool { return false })
		if said := s.saidLate.Sub(simStart); s.saidLate.IsZero() || said > by/2 {
			t.Errorf("said late after %v, expected within half of %v", said, by)
		}
		if share := s.models[0].Moves()[0].Share; share >= 1 {
			t.Errorf("share %v at the deadline: the move was forced", share)
		}
		if !s.until(3*time.Minute, func() bool { return s.all(roll.Complete) }) {
			s.pinned(t, "the move was not completed after its deadline")
		}
	})
}

// TestTakeBackNeedsNoLog cuts the log off before the version turns bad, and lets an entry restart after it.
func TestTakeBackNeedsNoLog(t *testing.T) {
	onSeeds(t, 10, moveTime, badKinds["fails later"], func(t *testing.T, s *sim) {
		s.until(25*time.Second, func() bool { return false })
		s.outage = true
		stopped := func() bool { return !slices.ContainsFunc(s.stoppedAt, time.Time.IsZero) }
		if !s.until(moveTime, stopped) {
			s.pinned(t, "an entry did not stop by itself while the log was down")
		}
		s.outage = false
		if !s.until(5*time.Second, func() bool { return s.all(roll.TakenBack) }) {
			s.pinned(t, "the take-back did not reach the log")
		}
		s.models[1] = s.newModel("boot-again", 1)
		s.started["v2"] = 0
		s.until(20*time.Second, func() bool { return false })
		if diff := cmp.Diff(0, s.started["v2"]); diff != "" {
			t.Errorf("new requests on the version after a restart (-want +got):\n%s", diff)
		}
	})
}

// TestTakeBackOutlivesRetention drops every record but the last few before an entry restarts.
func TestTakeBackOutlivesRetention(t *testing.T) {
	s := newSim(1, 3, moveTime, badKinds["fails"])
	if !s.until(moveTime, func() bool { return s.all(roll.TakenBack) }) {
		s.pinned(t, "the version was not taken back")
	}
	known := s.first + int64(len(s.log))
	s.until(30*time.Second, func() bool { return false })
	s.log, s.first = s.log[known-s.first:], known
	s.models[2] = s.newModel("boot-again", 2)
	s.started["v2"] = 0
	s.until(20*time.Second, func() bool { return false })
	type result struct {
		Phases  []roll.Phase
		Started int
	}
	want := result{Phases: []roll.Phase{roll.TakenBack, roll.TakenBack, roll.TakenBack}}
	if diff := cmp.Diff(want, result{s.phases(), s.started["v2"]}); diff != "" {
		t.Errorf("after the records were dropped (-want +got):\n%s", diff)
	}
}

// TestPausedHolderKeepsLoadsAtTwo pauses an entry while it holds tokens, and lets it send its orders late.
func TestPausedHolderKeepsLoadsAtTwo(t *testing.T) {
	onSeeds(t, 10, moveTime, good, func(t *testing.T, s *sim) {
		for range 100 {
			i := s.rng.IntN(len(s.models))
			s.paused[i] = !s.paused[i]
			s.until(time.Duration(s.rng.IntN(2000))*time.Millisecond, func() bool { return false })
		}
		clear(s.paused)
		if !s.until(5*time.Minute, func() bool { return s.models[0].Moves()[0].Holding == simEngines }) {
			s.pinned(t, "the version was not loaded everywhere")
		}
		if s.mostLoads > 2 {
			t.Errorf("%d loads at once", s.mostLoads)
		}
	})
}

// TestRacingEntriesAgree lets every entry read the log late, so that several propose the same step and claim.
func TestRacingEntriesAgree(t *testing.T) {
	type result struct {
		Phases []roll.Phase
		Loads  int
	}
	want := result{Phases: []roll.Phase{roll.Complete, roll.Complete, roll.Complete}, Loads: 2}
	onSeeds(t, 10, moveTime, good, func(t *testing.T, s *sim) {
		s.lag = 8
		s.until(2*moveTime, func() bool { return s.all(roll.Complete) })
		if diff := cmp.Diff(want, result{s.phases(), s.mostLoads}); diff != "" {
			t.Errorf("move (-want +got):\n%s", diff)
		}
	})
}

// TestStallsTakeNoGoodVersionBack makes all attempts of a moment slow at a high rate, so that they are not independent.
func TestStallsTakeNoGoodVersionBack(t *testing.T) {
	onSeeds(t, 10, 30*time.Second, good, func(t *testing.T, s *sim) {
		s.stalls, s.rate = true, simPeak
		s.until(time.Minute, func() bool { return s.all(roll.Complete) || s.all(roll.TakenBack) })
		if diff := cmp.Diff([]roll.Phase{roll.Complete, roll.Complete, roll.Complete}, s.phases()); diff != "" {
			s.pinned(t, diff)
		}
	})
}
