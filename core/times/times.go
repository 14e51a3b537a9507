// Package times compares points in time.
package times

import "time"

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
