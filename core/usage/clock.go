package usage

import (
	"slices"
	"time"
)

const (
	// sampleTTL is how long the wall clock of another entry counts after it was last received.
	sampleTTL = 30 * time.Second
	// maxSlew bounds how fast the agreed offset follows, as a fraction of the time that passes: a difference of 100 ms is gone within 2 s, and
	// a window is at most 5 % longer or shorter than it should be.
	maxSlew = 0.05
	// minVoters is the number of wall clocks from which on one that is wrong is outvoted.
	minVoters = 3
)

// Clock is the agreed time: the monotonic time of this entry plus the median of the offsets to the wall clocks of the entries. A wall clock
// that steps is outvoted as long as most of the others don't.
type Clock struct {
	self    string
	samples map[string]sample
	// offset is the agreed time minus the monotonic time, as of at; at is zero before the first sample.
	offset time.Duration
	at     time.Time
	// voted is set once there were minVoters samples. Before that, it is not known whether the entry's own clock is right, and the offset
	// follows at once.
	voted bool
}

// sample is the difference between a wall clock and the monotonic time of this entry, which was seen at a time.
type sample struct {
	offset time.Duration
	at     time.Time
}

// NewClock returns the clock of an entry without samples.
//
//	c := usage.NewClock("10.0.0.1:7700")
//	c.Observe(now, "10.0.0.1:7700", time.Now())
//	window := c.Time(now).UnixMilli() / 5000
func NewClock(self string) *Clock { return &Clock{self: self, samples: map[string]sample{}} }

// Observe records that the wall clock of an entry showed a time at the monotonic time now, and moves the agreed offset.
func (c *Clock) Observe(now time.Time, entry string, wall time.Time) {
	// Differences of wall-clock readings are taken without their monotonic parts.
	c.samples[entry] = sample{wall.Round(0).Sub(now.Round(0)), now}
	if entry == c.self {
		c.follow(now)
	}
}

// follow moves the agreed offset towards the median of the samples.
func (c *Clock) follow(now time.Time) {
	offsets := make([]time.Duration, 0, len(c.samples))
	for entry, s := range c.samples {
		if now.Sub(s.at) > sampleTTL {
			delete(c.samples, entry)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	goal := c.middle(offsets)
	if c.at.IsZero() || !c.voted && len(offsets) >= minVoters {
		c.offset, c.at, c.voted = goal, now, len(offsets) >= minVoters
		return
	}
	most := time.Duration(maxSlew * float64(max(now.Sub(c.at), 0)))
	c.offset += min(max(goal-c.offset, -most), most)
	c.at = now
}

// middle returns the median of sorted offsets. Of the two in the middle of an even number it returns the one that is closer to the
// present offset, so that of two clocks the one that steps is not followed at first.
func (c *Clock) middle(sorted []time.Duration) time.Duration {
	low, high := sorted[(len(sorted)-1)/2], sorted[len(sorted)/2]
	if c.at.IsZero() || (c.offset-low).Abs() <= (high-c.offset).Abs() {
		return low
	}
	return high
}

// Time returns the agreed time at the monotonic time now.
func (c *Clock) Time(now time.Time) time.Time { return now.Round(0).Add(c.offset) }

// Offset returns the difference between the wall clock of this entry at its last sample and the agreed time.
func (c *Clock) Offset() time.Duration { return c.samples[c.self].offset - c.offset }

// Voted reports whether the agreed time has followed enough clocks for one that is wrong to be outvoted.
func (c *Clock) Voted() bool { return c.voted }

// Samples returns the number of wall clocks that count.
func (c *Clock) Samples() int { return len(c.samples) }
