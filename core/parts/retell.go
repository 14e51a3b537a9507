package parts

import (
	"maps"
	"slices"
	"time"
)

const (
	// retellDelay is how long after an entry was first heard a round begins: entries that start together share one.
	retellDelay = time.Second
	// retellInterval is the least time between the beginnings of two rounds.
	retellInterval = 5 * time.Second
)

// Retell tells again, in portions, what holders keep. An entry that starts has not received what was reported before, and
// would have those parts prefilled again. Its methods aren't safe for concurrent use.
type Retell struct {
	index *Index
	// due is when the next round may begin, zero if no entry has started since the last one began.
	due     time.Time
	begunAt time.Time
	// left holds the keys of each holder that are still to be told in this round, at least one.
	left map[Holder][]Key
}

// NewRetell returns a Retell for the parts of an index.
//
//	r := parts.NewRetell(index)
//	r.Started(now)
//	reports := r.Next(now, followed, 64)
func NewRetell(index *Index) *Retell { return &Retell{index: index, left: map[Holder][]Key{}} }

// Started notes that an incarnation of another entry was heard for the first time.
func (r *Retell) Started(now time.Time) {
	if !r.due.IsZero() {
		return
	}
	r.due = now.Add(retellDelay)
	if next := r.begunAt.Add(retellInterval); next.After(r.due) {
		r.due = next
	}
}

// Next returns the next reports of the holders that this entry follows, with at most a number of parts in all.
func (r *Retell) Next(now time.Time, followed []Holder, limit int) (reports []ReportMsg) {
	if !r.due.IsZero() && !now.Before(r.due) && len(r.left) == 0 {
		r.due, r.begunAt = time.Time{}, now
		for _, holder := range followed {
			if h := r.index.holders[holder]; h != nil && len(h.parts) > 0 {
				r.left[holder] = slices.Sorted(maps.Keys(h.parts))
			}
		}
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

// report returns what a holder still keeps of some parts, unless its incarnation is not known yet.
func (r *Retell) report(holder Holder, keys []Key) (report ReportMsg, ok bool) {
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
