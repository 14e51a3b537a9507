package parts

import (
	"maps"
	"slices"
	"time"
)

// Outbox queues what the followed holders report until it has been sent to the other entries. It keeps the newest state of each part
// alone: the history of a holder is many times as long as what it still has, and bursts of datagrams are lost on narrow links. Its
// methods aren't safe for concurrent use.
type Outbox struct {
	queues map[Holder]*queue
	// last is the holder at which a call of Next last reached its limit. The next one begins after it, so that all holders get their turn.
	last Holder
}

// queue holds the changes of one holder that were not sent yet.
type queue struct {
	epoch int64
	// at is the latest time at which the holder is known to have been in this incarnation.
	at time.Time
	// next is the position at the holder up to which its changes are queued or were sent.
	next int64
	// fresh is set until a notice confirms the incarnation as of at.
	fresh bool
	// order lists the keys of tokens, each once.
	order  []Key
	tokens map[Key]int
}

// Notice is a report for the other entries.
type Notice struct {
	ReportMsg
	// Next is the position at the holder up to which all changes have been sent, 0 if more notices with changes follow.
	Next int64
}

// NewOutbox returns an empty Outbox.
//
//	o := parts.NewOutbox()
//	o.Add(report, next)
//	for _, notice := range o.Next(240) { send(notice) }
func NewOutbox() *Outbox { return &Outbox{queues: map[Holder]*queue{}} }

// Add queues the report of a holder. A report of another incarnation discards what is queued of the previous one.
func (o *Outbox) Add(msg ReportMsg, next int64) {
	q, ok := o.queues[msg.Holder]
	if !ok || q.epoch != msg.Epoch {
		q = &queue{epoch: msg.Epoch, tokens: map[Key]int{}}
		o.queues[msg.Holder] = q
	}
	q.at, q.next, q.fresh = msg.At, next, true
	for _, c := range msg.Changes {
		if _, queued := q.tokens[c.Key]; !queued {
			q.order = append(q.order, c.Key)
		}
		q.tokens[c.Key] = c.Tokens
	}
}

// AddAgain queues parts that were sent before, except those of another incarnation than the queued one and those with newer changes.
func (o *Outbox) AddAgain(msg ReportMsg) {
	q, ok := o.queues[msg.Holder]
	if !ok {
		o.Add(msg, 0)
		return
	}
	if q.epoch != msg.Epoch {
		return
	}
	for _, c := range msg.Changes {
		if _, queued := q.tokens[c.Key]; !queued {
			q.order, q.tokens[c.Key] = append(q.order, c.Key), c.Tokens
		}
	}
}

// Next returns the next notices, with at most limit changes in all. A holder without changes gets one for each report, which confirms its
// incarnation.
func (o *Outbox) Next(limit int) (notices []Notice) {
	holders := slices.Sorted(maps.Keys(o.queues))
	first, found := slices.BinarySearch(holders, o.last)
	if found {
		first++
	}
	for i := range holders {
		holder := holders[(first+i)%len(holders)]
		q := o.queues[holder]
		n := min(limit, len(q.order))
		if n == 0 && !q.fresh {
			continue
		}
		notices = append(notices, q.take(holder, n))
		if limit -= n; n > 0 && limit == 0 {
			o.last = holder
		}
		if len(q.order) == 0 {
			delete(o.queues, holder)
		}
	}
	return notices
}

// take returns a notice with the first changes.
func (q *queue) take(holder Holder, n int) (notice Notice) {
	notice = Notice{ReportMsg: ReportMsg{Holder: holder, Epoch: q.epoch, At: q.at}}
	for _, key := range q.order[:n] {
		notice.Changes = append(notice.Changes, Change{Key: key, Tokens: q.tokens[key]})
		delete(q.tokens, key)
	}
	q.order, q.fresh = q.order[n:], false
	if len(q.order) == 0 {
		notice.Next = q.next
	}
	return notice
}
