package roll

import (
	"math"
	"math/bits"
	"time"

	"cicadavalve/core/ident"
)

const (
	// binsPerDouble is the number of histogram bins per doubling of the latency.
	binsPerDouble = 4
	histogramBins = 128
	// minSamples is the minimum number of latencies for a median.
	minSamples = 10
	// slowFactor is the multiple of the old version's median above which a latency counts as slow.
	slowFactor = 2
)

// minExcess is the minimum excess over the old version's median for a latency to count as slow.
// A busy VM can delay any request by less than that.
var minExcess = [indicators]time.Duration{SlowFirst: 25 * time.Millisecond, SlowBetween: 2 * time.Millisecond}

// latencyKey separates latencies that are not comparable with each other.
type latencyKey struct {
	class     ident.Class
	indicator Indicator
	// size is the bit length of the number of computed prompt tokens; 0 for times between tokens.
	size int
}

// histogram counts latencies in logarithmic bins.
type histogram struct {
	bins  [histogramBins]float64
	total float64
}

func bin(d time.Duration) int {
	b := int(math.Log2(max(float64(d)/float64(time.Microsecond), 1)) * binsPerDouble)
	return min(b, histogramBins-1)
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

// median returns the upper bound of the bin that holds the median.
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

// latencies holds the old version's latencies as observed by this entry.
type latencies struct {
	histograms map[latencyKey]*histogram
	lastDecay  time.Time
}

func newLatencies() *latencies { return &latencies{histograms: map[latencyKey]*histogram{}} }

// decay halves the histograms once per controlHalfLife.
func (l *latencies) decay(now time.Time) {
	if l.lastDecay.IsZero() {
		l.lastDecay = now
	}
	if now.Sub(l.lastDecay) < controlHalfLife {
		return
	}
	l.lastDecay = now
	for _, h := range l.histograms {
		h.decay()
	}
}

// classify returns the tallies of one attempt. An attempt on the old version also updates the histograms.
func (l *latencies) classify(now time.Time, a AttemptMsg, isOld bool) (c Counts) {
	if isOld {
		l.decay(now)
	}
	c[Failed] = Tally{N: 1}
	if a.Failed {
		c[Failed].Bad = 1
		return c
	}
	c[SlowFirst] = l.tally(latencyKey{a.Class, SlowFirst, bits.Len(uint(max(a.Computed, 0)))}, a.First, isOld)
	c[SlowBetween] = l.tally(latencyKey{class: a.Class, indicator: SlowBetween}, a.Between, isOld)
	return c
}

// tally compares a latency with the old version's median. It is zero if the latency is not known or
// there are fewer than minSamples.
func (l *latencies) tally(k latencyKey, d time.Duration, isOld bool) (t Tally) {
	if d <= 0 {
		return t
	}
	h, known := l.histograms[k]
	if !known {
		h = &histogram{}
		l.histograms[k] = h
	}
	if h.total >= minSamples {
		t.N = 1
		if d > slowFactor*h.median() && d > h.median()+minExcess[k.indicator] {
			t.Bad = 1
		}
	}
	if isOld {
		h.add(d)
	}
	return t
}
