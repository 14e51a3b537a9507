package parts

import (
	"maps"
	"slices"
	"time"
)

const (
	// resendDelay is how long after the first heartbeat of an entry a round begins: entries that start together share one.
	resendDelay = time.Second
	// resendInterval is the minimum time between the starts of two rounds.
	resendInterval = 5 * time.Second
)

// Resend reports the parts of holders again, a few at a time. An entry that starts has not received the earlier reports, and
// would have those parts prefilled again. Its methods aren't safe for concurrent use.
type Resend struct {
	index *Index
	// due is when the next round may begin, zero if no entry has started since the last one began.
	due     time.Time
	begunAt time.Time
	// left holds the keys that this round has yet to report of each holder, at least one.
	left map[Holder][]Key
}

// NewResend returns a Resend for the parts of an index.
//
//	r := parts.NewResend(index)
//	r.Started(now)
//	reports := r.Next(now, followed, 64)
func NewResend(index *Index) *Resend { return &Resend{index: index, left: map[Holder][]Key{}} }

// Started schedules a round after the first heartbeat of another entry's incarnation, unless one is scheduled.
func (r *Resend) Started(now time.Time) {
	if !r.due.IsZero() {
		return
	}
	r.due = now.Add(resendDelay)
	if next := r.begunAt.Add(resendInterval); next.After(r.due) {
		r.due = next
	}
}

// Next returns the next reports of the holders that this entry follows, of at most limit parts in all.
func (r *Resend) Next(now time.Time, followed []Holder, limit int) (reports []ReportMsg) {
	if !r.due.IsZero() && !now.Before(r.due) && len(r.left) == 0 {
		r.begin(now, followed)
	}
	for _, holder := range slices.Sorted(maps.Keys(r.left)) {
		if limit == 0 {
			break
		}
		keys := r.left[holder]
		n := min(limit, len(keys))
		limit -= n
		if r.left[holder] = keys[n:]; n == len(keys) {
			delete(r.left, holder)
		}
		if report, ok := r.report(holder, keys[:n]); ok && slices.Contains(followed, holder) {
			reports = append(reports, report)
		}
	}
	return reports
}

// begin begins a round, unless nothing is known of the followed holders yet: entries that have all just started would otherwise end the
// round before there is anything to report.
func (r *Resend) begin(now time.Time, followed []Holder) {
	for _, holder := range followed {
		if h := r.index.holders[holder]; h != nil && len(h.parts) > 0 {
			r.left[holder] = slices.Sorted(maps.Keys(h.parts))
		}
	}
	if len(r.left) > 0 {
		r.due, r.begunAt = time.Time{}, now
	}
}

// report returns those of the parts that a holder still keeps. ok is false if there are none, or if its incarnation is unknown.
func (r *Resend) report(holder Holder, keys []Key) (report ReportMsg, ok bool) {
	h := r.index.holders[holder]
	if h == nil || h.epoch == 0 {
		return ReportMsg{}, false
	}
	report = ReportMsg{Holder: holder, Epoch: h.epoch, At: h.confirmedAt}
	for _, key := range keys {
		if tokens := h.parts[key]; tokens > 0 {
			report.Changes = append(report.Changes, Change{Key: key, Tokens: tokens})
		}
	}
	return report, len(report.Changes) > 0
}
