package scale

import (
	"math"
	"slices"
	"time"
)

const (
	// smoothingTime is the time constant of the average that evens out single requests. Bursts of 3 s must still show.
	smoothingTime = 400 * time.Millisecond
	// seriesSize is the number of buckets that a series keeps.
	seriesSize = 64
	// bucketsPerLead is the number of buckets in the time that an ordered upstream takes until it bears its full load.
	bucketsPerLead = 8
	// minBucket keeps at least 32 s where that time is short.
	minBucket = 500 * time.Millisecond
	// minFilled is the share of the buckets of a span that must have samples for its median to count.
	minFilled = 0.7
)

// bucket summarises the samples of one interval.
type bucket struct {
	// index is the number of the interval, counted from the first sample.
	index    int64
	max, sum float64
	samples  int
}

// series keeps the recent course of a demand, in upstreams.
type series struct {
	start, at time.Time
	// width is the length of a bucket, and lead that of bucketsPerLead buckets or more.
	width   time.Duration
	average float64
	buckets [seriesSize]bucket
}

// observe adds a sample. Samples of more than the smoothing time apart replace the average.
func (s *series) observe(now time.Time, lead time.Duration, value float64) {
	width := max(lead/bucketsPerLead, minBucket)
	if s.start.IsZero() || s.width != width {
		*s = series{start: now, at: now, width: width, average: value}
	}
	s.average += (value - s.average) * -math.Expm1(-float64(now.Sub(s.at))/float64(smoothingTime))
	s.at = now
	index := s.index(now)
	b := &s.buckets[index%seriesSize]
	if b.index != index || b.samples == 0 {
		*b = bucket{index: index}
	}
	b.max, b.sum, b.samples = max(b.max, s.average), b.sum+s.average, b.samples+1
}

func (s *series) index(now time.Time) int64 { return int64(now.Sub(s.start) / s.width) }

// peak returns the largest average of the last span.
func (s *series) peak(now time.Time, span time.Duration) (peak float64) {
	s.visit(now, 0, span, func(b *bucket) { peak = max(peak, b.max) })
	return peak
}

// growth returns by how much the median of the last lead is above that of the lead before, 0 if it is not or if either is unknown. Waves of
// about the length of a lead cancel out, which they would not in the slope of a few seconds, and bursts of a few seconds don't count.
func (s *series) growth(now time.Time, lead time.Duration) (growth float64) {
	recent, known := s.median(now, 0, lead)
	before, knownBefore := s.median(now, lead, 2*lead)
	if !known || !knownBefore {
		return 0
	}
	return max(recent-before, 0)
}

// median returns the median of the means of the buckets between two ages, from the later one on.
func (s *series) median(now time.Time, from, to time.Duration) (median float64, known bool) {
	var means [seriesSize]float64
	n := 0
	s.visit(now, from, to, func(b *bucket) {
		means[n] = b.sum / float64(b.samples)
		n++
	})
	if n == 0 || float64(n) < minFilled*float64((to-from)/s.width) {
		return 0, false
	}
	slices.Sort(means[:n])
	return means[n/2], true
}

// visit calls f with the buckets of an age from one to another that have samples.
func (s *series) visit(now time.Time, from, to time.Duration, f func(b *bucket)) {
	if s.start.IsZero() {
		return
	}
	newest := s.index(now)
	for i := range s.buckets {
		b := &s.buckets[i]
		age := time.Duration(newest-b.index) * s.width
		if b.samples > 0 && age >= from && age < to {
			f(b)
		}
	}
}
