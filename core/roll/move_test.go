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
	moveDeadline = 2 * time.Minute
	// goodRuns is the number of runs with a good version; each bad kind has a tenth of it.
	goodRuns = 100
)

// badKinds maps the name of a defect to the quality of a version that has it.
var badKinds = map[string]quality{
	"fails":          func(*sim, ident.Class) (float64, float64) { return 0.5, 1 },
	"slow":           func(*sim, ident.Class) (float64, float64) { return 0.003, 4 },
	"fails later":    func(s *sim, _ ident.Class) (float64, float64) { return afterDelay(s, 30*time.Second, 0.5, 0.003), 1 },
	"slow later":     func(s *sim, _ ident.Class) (float64, float64) { return 0.003, afterDelay(s, 30*time.Second, 4, 1) },
	"fails on route": func(_ *sim, c ident.Class) (float64, float64) { return onRoute(c, 0.5, 0.003), 1 },
	"slow on route":  func(_ *sim, c ident.Class) (float64, float64) { return 0.003, onRoute(c, 4, 1) },
	"fails from 16%": func(s *sim, _ ident.Class) (float64, float64) { return aboveShare(s, 0.5, 0.003), 1 },
	"slow above 16%": func(s *sim, _ ident.Class) (float64, float64) { return 0.003, aboveShare(s, 4, 1) },
}

func afterDelay(s *sim, d time.Duration, bad, fine float64) float64 {
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

// forSeeds runs a check on one simulation per seed, in parallel.
func forSeeds(t *testing.T, n int, by time.Duration, bad quality, check func(t *testing.T, s *sim)) {
	t.Helper()
	for seed := range uint64(n) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			check(t, newSim(seed, 3, by, bad))
		})
	}
}

// TestGoodVersionsCompleteByDeadline expects every good version to be complete on every entry by the deadline,
// with two loads at once at the peak: both weight tokens are used, and no more loads run.
func TestGoodVersionsCompleteByDeadline(t *testing.T) {
	type result struct {
		Phases []roll.Phase
		Loads  int
		Share  float64
	}
	want := result{Phases: []roll.Phase{roll.Complete, roll.Complete, roll.Complete}, Loads: 2, Share: 1}
	forSeeds(t, goodRuns, moveDeadline, good, func(t *testing.T, s *sim) {
		s.until(moveDeadline, func() bool { return s.allIn(roll.Complete) || s.allIn(roll.TakenBack) })
		got := result{Phases: s.phases(), Loads: s.maxLoads, Share: s.models[0].Moves()[0].Share}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("move (-want +got):\n%s", diff)
		}
	})
}

// TestBadVersionsAreTakenBack expects every entry to take a bad version back before the deadline, and no new
// requests on it after that. It logs the share that the version got.
func TestBadVersionsAreTakenBack(t *testing.T) {
	for name, bad := range badKinds {
		forSeeds(t, goodRuns/10, moveDeadline, bad, func(t *testing.T, s *sim) {
			if !s.until(moveDeadline, func() bool { return s.allIn(roll.TakenBack) }) {
				s.fatal(t, name+": the version was not taken back")
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

// TestShortDeadlineIsReportedNotForced sets a deadline too short to collect the evidence. The move must be
// reported late within half of the time and complete after the deadline, not by force.
func TestShortDeadlineIsReportedNotForced(t *testing.T) {
	const by = 15 * time.Second
	forSeeds(t, 10, by, good, func(t *testing.T, s *sim) {
		s.until(by, func() bool { return false })
		if late := s.lateAt.Sub(simStart); s.lateAt.IsZero() || late > by/2 {
			t.Errorf("reported late after %v, expected within half of %v", late, by)
		}
		if share := s.models[0].Moves()[0].Share; share >= 1 {
			t.Errorf("share %v at the deadline: the move was forced", share)
		}
		if !s.until(3*time.Minute, func() bool { return s.allIn(roll.Complete) }) {
			s.fatal(t, "the move was not completed after its deadline")
		}
	})
}

// TestTakeBackDuringLogOutage makes the log unavailable before the version turns bad. Each entry must take it
// back on its own, and the take-back must reach the log afterwards and survive the restart of an entry.
func TestTakeBackDuringLogOutage(t *testing.T) {
	forSeeds(t, 10, moveDeadline, badKinds["fails later"], func(t *testing.T, s *sim) {
		s.until(25*time.Second, func() bool { return false })
		s.outage = true
		stopped := func() bool { return !slices.ContainsFunc(s.stoppedAt, time.Time.IsZero) }
		if !s.until(moveDeadline, stopped) {
			s.fatal(t, "an entry did not stop by itself while the log was down")
		}
		s.outage = false
		if !s.until(5*time.Second, func() bool { return s.allIn(roll.TakenBack) }) {
			s.fatal(t, "the take-back did not reach the log")
		}
		s.models[1] = s.newModel("boot-again", 1)
		s.started["v2"] = 0
		s.until(20*time.Second, func() bool { return false })
		if diff := cmp.Diff(0, s.started["v2"]); diff != "" {
			t.Errorf("new requests on the version after a restart (-want +got):\n%s", diff)
		}
	})
}

// TestTakeBackSurvivesRetention drops the records up to the take-back before an entry restarts, so that only
// the keep records after it remain.
func TestTakeBackSurvivesRetention(t *testing.T) {
	s := newSim(1, 3, moveDeadline, badKinds["fails"])
	if !s.until(moveDeadline, func() bool { return s.allIn(roll.TakenBack) }) {
		s.fatal(t, "the version was not taken back")
	}
	end := s.first + int64(len(s.log))
	s.until(30*time.Second, func() bool { return false })
	s.log, s.first = s.log[end-s.first:], end
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

// TestPausedHolderStaysWithinLoadLimit pauses entries at random, so that token holders send their orders late.
// No more than two loads may run at once.
func TestPausedHolderStaysWithinLoadLimit(t *testing.T) {
	forSeeds(t, 10, moveDeadline, good, func(t *testing.T, s *sim) {
		for range 100 {
			i := s.rng.IntN(len(s.models))
			s.paused[i] = !s.paused[i]
			s.until(time.Duration(s.rng.IntN(2000))*time.Millisecond, func() bool { return false })
		}
		clear(s.paused)
		if !s.until(5*time.Minute, func() bool { return s.models[0].Moves()[0].Holding == simEngines }) {
			s.fatal(t, "the version was not loaded everywhere")
		}
		if s.maxLoads > 2 {
			t.Errorf("%d loads at once", s.maxLoads)
		}
	})
}

// TestConcurrentProposalsAgree delays the log reads, so that several entries propose the same step and claim.
func TestConcurrentProposalsAgree(t *testing.T) {
	type result struct {
		Phases []roll.Phase
		Loads  int
	}
	want := result{Phases: []roll.Phase{roll.Complete, roll.Complete, roll.Complete}, Loads: 2}
	forSeeds(t, 10, moveDeadline, good, func(t *testing.T, s *sim) {
		s.readLag = 8
		s.until(2*moveDeadline, func() bool { return s.allIn(roll.Complete) })
		if diff := cmp.Diff(want, result{s.phases(), s.maxLoads}); diff != "" {
			t.Errorf("move (-want +got):\n%s", diff)
		}
	})
}

// TestStallsDoNotRejectGoodVersion slows all attempts at the same moment at a high request rate. Such attempts
// are not independent and must not reject a good version.
func TestStallsDoNotRejectGoodVersion(t *testing.T) {
	forSeeds(t, 10, 30*time.Second, good, func(t *testing.T, s *sim) {
		s.stalls, s.rate = true, simPeakRate
		s.until(time.Minute, func() bool { return s.allIn(roll.Complete) || s.allIn(roll.TakenBack) })
		if diff := cmp.Diff([]roll.Phase{roll.Complete, roll.Complete, roll.Complete}, s.phases()); diff != "" {
			s.fatal(t, diff)
		}
	})
}
