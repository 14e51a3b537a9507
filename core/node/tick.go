package node

import "time"

const (
	// TickInterval is the least time between two ticks.
	TickInterval = 50 * time.Millisecond
	// mostTickInterval is the longest time between two ticks, for what bounds its own delay by it.
	mostTickInterval = time.Second
)

// NextTick is when the deciders are to be told next that time has passed. Each message can change it.
func (n *Node) NextTick() time.Time { return n.due }

// setDue works out the next tick after a message, and tells the scheduler, which learns by it when the
// entry itself is late. A tick that is overdue stays so until it comes.
func (n *Node) setDue(now time.Time, ticked bool) {
	if !ticked && !n.due.IsZero() && n.due.Before(now) {
		return
	}
	n.due = n.nextDue()
	if n.due.Before(now) {
		n.due = now
	}
	n.sched.ExpectTick(n.due)
}

// nextDue is once the first decider has something to do, and within the bounds of the tick intervals.
func (n *Node) nextDue() time.Time {
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
