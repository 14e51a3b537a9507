package scale

import (
	"time"
)

const (
	// callTimeout is after how long the outcome of a call counts as unknown.
	callTimeout = 5 * time.Second
	// quickRepeats is how many orders without a known outcome are repeated after orderInterval; the interval then doubles up to maxDoublings
	// times.
	quickRepeats = 4
	maxDoublings = 3
)

// zone is the state of one service in one availability zone.
type zone struct {
	demand series
	// state is the newest one.
	state ZoneState
	// known is set once an upstream has been listed there.
	known bool
	// high is the highest number listed in the last holdTime, at highAt.
	high   int
	highAt time.Time
	// roseAt is when the listed number last rose.
	roseAt time.Time
	// own is set once this holder has ordered ordered upstreams. Before, the listed number counts as the present order.
	own     bool
	ordered int
	sentAt  time.Time
	// rise is how many more upstreams the last order asked for than were listed.
	rise int
	// before is what a refused order leaves in force.
	before struct {
		own     bool
		ordered int
	}
	// sending is set while a call is under way, and unknown while the outcome of an earlier one is not known.
	sending, unknown bool
	// unanswered counts the calls without a known outcome since the last one that had one.
	unanswered int
	// reported is set once it has been reported that callers use a zone that is not known.
	reported bool
	// differsAt is since when the listed number differs from the ordered one, zero if it doesn't.
	differsAt time.Time
	// stuck is set while orders did not bring the listed number up to the ordered one.
	stuck bool
}

// observe applies a new state.
func (z *zone) observe(now time.Time, lead time.Duration, state ZoneState) {
	z.demand.observe(now, lead, state.Busy)
	if state.Listed > z.state.Listed {
		z.roseAt = now
	}
	z.state, z.known = state, z.known || state.Listed > 0
	if state.Listed >= z.high || now.Sub(z.highAt) >= holdTime {
		z.high, z.highAt = state.Listed, now
	}
	if z.sending && now.Sub(z.sentAt) >= callTimeout {
		z.sending, z.unknown = false, true
	}
	switch {
	case !z.own || state.Listed == z.ordered:
		z.differsAt, z.stuck = time.Time{}, false
	case z.differsAt.IsZero():
		z.differsAt = now
	}
}

// base returns the number that is taken for the present order.
func (z *zone) base() int {
	if z.own {
		return z.ordered
	}
	return z.high
}

// coming returns how many upstreams there are or will be at the end of the boot time. Upstreams that are missing without an order under
// way may have been lost.
func (z *zone) coming(now time.Time, shown time.Duration) int {
	if z.own && !z.stuck && now.Sub(z.sentAt) < shown {
		return max(min(z.ordered, z.state.Listed+z.rise), z.state.Listed)
	}
	return z.state.Listed
}

// free reports whether an order may be given.
func (z *zone) free(now time.Time) bool {
	return z.known && !z.sending && now.Sub(z.sentAt) >= orderInterval<<min(max(z.unanswered-quickRepeats, 0), maxDoublings)
}

// settled reports whether the listed number can be taken for the present order.
func (z *zone) settled(now time.Time) bool {
	return z.own || z.state.Listed > 0 && now.Sub(z.roseAt) >= settleTime
}

// agrees reports whether the number is the one that was ordered, and no call is open.
func (z *zone) agrees() bool { return !z.sending && !z.unknown && z.state.Listed == z.base() }

// bears reports whether further upstreams can be expected there.
func (z *zone) bears() bool { return z.known && !z.state.Avoided && !z.stuck && z.state.Listed > 0 }

// reconcile returns whether the number has to be ordered again, since another one is listed although the boot time is over. A listed number
// far above the ordered one is followed: ordering the lower one again would end many upstreams at once.
func (z *zone) reconcile(now time.Time, shown time.Duration) (again bool) {
	if !z.own || z.differsAt.IsZero() || now.Sub(z.differsAt) < shown || now.Sub(z.sentAt) < shown {
		return false
	}
	if z.state.Listed > z.ordered+1 {
		z.release()
		z.high, z.highAt = z.state.Listed, now
		return false
	}
	return true
}

// send notes that an order is given.
func (z *zone) send(now time.Time, count int) {
	if !z.unknown {
		z.before.own, z.before.ordered = z.own, z.ordered
	}
	if z.own && z.ordered == count && z.state.Listed < count && !z.unknown {
		z.stuck = true
	}
	z.own, z.ordered, z.sentAt, z.sending, z.rise = true, count, now, true, max(count-z.state.Listed, 0)
	if z.state.Listed == count {
		z.differsAt = time.Time{}
	}
}

// apply applies the outcome of the call that is under way. A refused call leaves the outcome of an earlier one unknown.
func (z *zone) apply(msg OutcomeMsg) {
	if !z.sending || msg.Count != z.ordered {
		return
	}
	z.sending = false
	z.unanswered++
	switch msg.Result {
	case Accepted:
		z.unknown, z.unanswered = false, 0
	case Unknown:
		z.unknown = true
	case Refused:
		z.unanswered = 0
		if !z.unknown {
			z.own, z.ordered = z.before.own, z.before.ordered
		}
	}
}

// release forgets the orders of this entry, which no longer holds the lease.
func (z *zone) release() {
	z.own, z.sending, z.unknown, z.stuck, z.unanswered, z.differsAt = false, false, false, false, 0, time.Time{}
}
