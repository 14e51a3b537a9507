// Package recall selects requests that wait at an upstream without a first byte and are expected to be answered sooner by another one.
//
// It decides from times alone. Its caller knows which requests may run again, and what other upstreams are expected to take.
package recall

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/times"
)

const (
	// minWait is how long a request stays at its upstream at least: the loads of other entries are that old, so that another upstream may only
	// seem to be faster.
	minWait = 100 * time.Millisecond
	// soonerFactor and soonerMargin are how much longer the first byte must be expected to take where the request is than elsewhere. The
	// work that was done for it is lost.
	soonerFactor = 1.5
	soonerMargin = 10 * time.Millisecond
	// timeShare is the fraction of the time left within which the first byte must be expected elsewhere. It ends recalls while all
	// upstreams are full.
	timeShare = 0.5
	// maxRecalled is how many requests are selected at once. Each of them adds to the load of its target, which the next ones don't see yet.
	maxRecalled = 2
	// maxCompared is for how many requests other upstreams are compared at once, which takes most of the time.
	maxCompared = 8
)

// Request is a request at an upstream that has no first byte yet.
type Request struct {
	ID uint64
	// Elapsed is the time since it was sent.
	Elapsed time.Duration
	// Expected is how long after that its first byte was expected.
	Expected time.Duration
	// Own is how long its own work takes at the pace that is expected there now: the least time until its first byte.
	Own time.Duration
	// Due is the time until its objective ends, negative after that. Left is the time until its deadline.
	Due, Left time.Duration
}

// Recall is a request that is to be sent to another upstream.
type Recall struct {
	Request Request
	// Target is the expected time to its first byte there.
	Target time.Duration
}

// Remaining returns the time until the first byte at the pace expected at the upstream.
func (r *Request) Remaining() time.Duration { return max(r.Expected-r.Elapsed, r.Own) }

// Overdue reports whether the first byte would be late even if it came at the pace expected at the upstream.
func (r *Request) Overdue() bool { return r.Elapsed >= minWait && r.Remaining() > r.Due }

// Sooner reports whether another upstream, expected to take a time to the first byte, is clearly the better one. A request that should
// have had its first byte is expected to wait for as long again as it is late.
func (r *Request) Sooner(target time.Duration) bool {
	wait := max(r.Remaining(), r.Elapsed-r.Expected)
	return times.Duration(soonerFactor*float64(target))+soonerMargin < wait && float64(target) < timeShare*float64(r.Left)
}

// Select returns the requests to recall, those with the least time left first. target returns the time to the first byte that is expected
// at the best other upstream; ok is false if none takes the request.
//
//	for _, r := range recall.Select(waiting, best) { end(r.Request.ID) }
func Select(waiting []Request, target func(r Request) (expected time.Duration, ok bool)) (recalled []Recall) {
	var overdue []Request
	for _, r := range waiting {
		if r.Left > 0 && r.Overdue() {
			overdue = append(overdue, r)
		}
	}
	slices.SortFunc(overdue, func(a, b Request) int { return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.ID, b.ID)) })
	for _, r := range overdue[:min(len(overdue), maxCompared)] {
		expected, ok := target(r)
		if !ok || !r.Sooner(expected) {
			continue
		}
		if recalled = append(recalled, Recall{r, expected}); len(recalled) == maxRecalled {
			break
		}
	}
	return recalled
}
