// Package times compares points in time and converts durations.
package times

import (
	"math"
	"time"
)

// maxDuration bounds converted durations: two of them add up without overflow.
const maxDuration = 1 << 62

// Duration converts a number of ns, and one that is out of range to the nearest that is not: what the language's conversion makes of that
// differs between architectures.
//
//	wait := times.Duration(tokens / perSecond * float64(time.Second))
func Duration(ns float64) time.Duration {
	if math.IsNaN(ns) {
		return 0
	}
	return time.Duration(min(max(ns, -maxDuration), maxDuration))
}

// Earlier returns the earlier of two times.
//
//	until = times.Earlier(until, deadline)
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later of two times.
//
//	until = times.Later(until, now.Add(pause))
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
