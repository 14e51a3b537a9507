package roll

import (
	"math"
	"math/bits"
	"time"

	"cicadavalve/core/ident"
)

const (
	// binsPerDouble is how many bins of a speed histogram cover a doubling of time.
	binsPerDouble = 4
	speedBins     = 128
	// speedLeast is how many times make a median.
	speedLeast = 10
	// slowTimes is how many times the old version's median counts as slow.
	slowTimes = 2
)

// leastExcess is how far above the old version's median a time is at least to count as slow;
// less is within what a busy VM adds to any request.
var leastExcess = [indicators]time.Duration{SlowFirst: 25 * time.Millisecond, SlowBetween: 2 * time.Millisecond}

// speedKey tells apart times that can't be compared.
type speedKey struct {
	class     ident.Class
	indicator Indicator
	// size is the order of magnitude of the prompt tokens that were computed.
	size int
}

// histogram counts times in bins of equal ratio.
type histogram struct {
	bins  [speedBins]float64
	total float64
}

func bin(d time.Duration) int {
	b := int(math.Log2(max(float64(d)/float64(time.Microsecond), 1)) * binsPerDouble)
	return min(b, speedBins-1)
}

func (h *histogram) add(d time.Duration) {
	h.bins[bin(d)]++
	h.total++
}

func (h *histogram) decay() {
	for i := range h.bins {
		h.bins[i] /= 2
	}
	h.total /= 2
}

// median is the upper end of the bin that holds the median.
func (h *histogram) median() time.Duration {
	sum := 0.0
	for i, n := range h.bins {
		sum += n
		if 2*sum >= h.total {
			return time.Duration(math.Exp2(float64(i+1)/binsPerDouble) * float64(time.Microsecond))
		}
	}
	return 0
}

// speeds holds what this entry saw of the old version's times.
type speeds struct {
	histograms map[speedKey]*histogram
	decayed    time.Time
}

func newSpeeds() *speeds { return &speeds{histograms: map[speedKey]*histogram{}} }

// decay makes the older times count less.
func (s *speeds) decay(now time.Time) {
	if s.decayed.IsZero() {
		s.decayed = now
	}
	if now.Sub(s.decayed) < controlWindow {
		return
	}
	s.decayed = now
	for _, h := range s.histograms {
		h.decay()
	}
}

// counts turns an attempt into tallies, and learns from it when it ran on the old version.
func (s *speeds) counts(now time.Time, a AttemptMsg, isOld bool) (c Counts) {
	if isOld {
		s.decay(now)
	}
	c[Failed] = Tally{N: 1}
	if a.Failed {
		c[Failed].Bad = 1
		return c
	}
	c[SlowFirst] = s.tally(speedKey{a.Class, SlowFirst, bits.Len(uint(max(a.Computed, 0)))}, a.First, isOld)
	c[SlowBetween] = s.tally(speedKey{class: a.Class, indicator: SlowBetween}, a.Between, isOld)
	return c
}

func (s *speeds) tally(k speedKey, d time.Duration, isOld bool) (t Tally) {
	if d <= 0 {
		return t
	}
	h, known := s.histograms[k]
	if !known {
		h = &histogram{}
		s.histograms[k] = h
	}
	if h.total >= speedLeast {
		t.N = 1
		if d > slowTimes*h.median() && d > h.median()+leastExcess[k.indicator] {
			t.Bad = 1
		}
	}
	if isOld {
		h.add(d)
	}
	return t
}
