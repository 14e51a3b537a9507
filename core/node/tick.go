package node

import "time"

const (
	// MinTickInterval is the minimum time between two ticks.
	MinTickInterval = 50 * time.Millisecond
	// maxTickInterval is the maximum time between two ticks. It bounds the delay of actions that set no tick of
	// their own.
	maxTickInterval = time.Second
)

// NextTick returns when the next tick is due. Each message can change it.
func (n *Node) NextTick() time.Time { return n.nextTick }

// scheduleTick sets the time of the next tick after a message and passes it to the scheduler, which
// uses it to detect that the entry itself is late. An overdue tick keeps its time until it happens.
func (n *Node) scheduleTick(now time.Time, ticked bool) {
	if !ticked && !n.nextTick.IsZero() && n.nextTick.Before(now) {
		return
	}
	n.nextTick = n.earliestTick()
	if n.nextTick.Before(now) {
		n.nextTick = now
	}
	n.sched.ExpectTick(n.nextTick)
}

// earliestTick returns when the first state machine has to act, limited by the minimum and maximum tick interval.
func (n *Node) earliestTick() time.Time {
	next := n.lastTick.Add(maxTickInterval)
	for _, due := range []func() (time.Time, bool){
		n.sched.NextTick, n.once.NextTick, n.roll.NextTick, n.members.NextTick, n.config.NextTick, n.cache.NextTick,
	} {
		if at, set := due(); set && at.Before(next) {
			next = at
		}
	}
	if earliest := n.lastTick.Add(MinTickInterval); next.Before(earliest) {
		return earliest
	}
	return next
}
