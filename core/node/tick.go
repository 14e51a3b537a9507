package node

import "time"

const (
	// TickInterval is the least time between two ticks.
	TickInterval = 50 * time.Millisecond
	// mostTickInterval is the longest time between two ticks, for what bounds its own delay by it.
	mostTickInterval = time.Second
)

// NextTick is when the deciders are to be told next that time has passed: once the first of them
// has something to do, and within the bounds of the tick intervals. Each message can change it.
func (n *Node) NextTick() time.Time {
	next := n.ticked.Add(mostTickInterval)
	for _, due := range []func() (time.Time, bool){
		n.sched.NextTick, n.once.NextTick, n.roll.NextTick, n.members.NextTick, n.config.NextTick, n.cache.NextTick,
	} {
		if at, set := due(); set && at.Before(next) {
			next = at
		}
	}
	if earliest := n.ticked.Add(TickInterval); next.Before(earliest) {
		return earliest
	}
	return next
}
