package entry

import "time"

// clock provides the state machines with times that never decrease: the wall clock time at the start plus the monotonic
// time elapsed since. The times carry no monotonic reading, which a journal could not store.
type clock struct {
	start time.Time
}

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Time {
	return c.at(time.Now())
}

// at converts a result of time.Now to this clock.
func (c clock) at(t time.Time) time.Time {
	return c.start.Round(0).Add(t.Sub(c.start))
}
