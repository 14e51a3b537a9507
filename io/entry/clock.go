package entry

import "time"

// clock gives the deciders times that never go back: the wall clock at the start
// plus the monotonic time since. Its times carry no monotonic reading, so that a
// journal keeps them whole.
type clock struct {
	start time.Time
}

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Time {
	return c.at(time.Now())
}

// at is the time of a moment that time.Now gave.
func (c clock) at(t time.Time) time.Time {
	return c.start.Round(0).Add(t.Sub(c.start))
}
