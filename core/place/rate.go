package place

import (
	"math"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/route"
	"cicadavalve/core/times"
)

// All entries share the rate of requests to an upstream that is cold or names a limit itself. An equal part of it
// belongs to each of the entries that rendezvous hashing ranks first for the upstream, few enough for each part to be
// useful. Every request that is sent counts, whatever it is sent for.

const (
	// limitShare is the fraction of an upstream's rate that all entries together use. It leaves a reserve for bursts
	// and for entries that disagree on how many of them share the rate.
	limitShare = 0.8
	// coldBurst is how many requests one entry may send to a cold upstream in a burst.
	coldBurst = 1
	// minColdRate is the smallest useful part of a cold upstream's rate, in requests a second.
	minColdRate = 1.0
	// minNamedRate is the smallest useful part of a named limit, in requests a second.
	minNamedRate = 0.4
	// namedBurst is the time whose part of a named limit one entry may use in a burst, though at least one request.
	namedBurst = 500 * time.Millisecond
	// maxBackoffRetryAfter is the longest delay, before jitter, for callers of upstreams that ask to back off. They ask again
	// now and then, since others may come.
	maxBackoffRetryAfter = 30 * time.Second
	// trialRate is the rate, in requests a second, at which all entries together find out whether an upstream still
	// names a limit below it.
	trialRate = 0.2
)

// quota is this entry's part of the rate of requests to one upstream.
type quota struct {
	// bounded is false if the rate has no limit.
	bounded bool
	// perSecond is 0 if the upstream is left to other entries.
	perSecond float64
	// burst is at least 1.
	burst float64
	// trialInterval is how long a named limit may go unconfirmed before this entry tries it again, 0 without a limit.
	trialInterval time.Duration
}

// quota returns this entry's part of the rate of requests to an upstream in a condition.
func (m *Model) quota(u *conf.Upstream, cold bool, limit conf.NamedLimit) (q quota) {
	total, users, burst := math.Inf(1), max(1, len(m.members.Sharers), m.members.Count), math.Inf(1)
	if limit.Named {
		total = max(limitShare*limit.PerSecond, trialRate)
		users = min(users, max(1, int(min(total/minNamedRate, math.MaxInt32))))
	}
	if service, ok := m.set.Service(u.Service); cold && ok && service.ColdRate > 0 {
		rate := limitShare * service.ColdRate
		total, burst = min(total, rate), coldBurst
		users = min(users, max(1, int(rate/minColdRate)))
	}
	if math.IsInf(total, 1) {
		return quota{}
	}
	q = quota{bounded: true, burst: 1}
	if len(m.members.Sharers) > users && !route.IsAmong(string(u.ID), m.members.Self, m.members.Sharers, users) {
		return q
	}
	q.perSecond = total / float64(users)
	q.burst = max(1, min(burst, q.perSecond*namedBurst.Seconds()))
	if limit.Named {
		q.trialInterval = times.Duration(float64(users) / trialRate * float64(time.Second))
	}
	return q
}

// mustTry reports whether the request should find out if an upstream still names its limit: only an answer of the
// upstream ends the limit, and it gets no requests while others are the better choice. The request must not be late for it.
func (m *Model) mustTry(now time.Time, need *Need, status fleet.Status, o *option) bool {
	interval := o.quota.trialInterval
	return status.Limit.Named && interval > 0 && !need.Sampled && status.LimitAge >= interval && now.Sub(m.load(o.upstream.ID).limitedAt) >= interval &&
		o.firstByte <= need.Objective
}

// tokens returns how many requests the entry may send to an upstream now.
func (m *Model) tokens(now time.Time, upstream ident.UpstreamID, q quota) float64 {
	switch {
	case !q.bounded:
		return math.Inf(1)
	case q.perSecond == 0:
		return 0
	}
	return m.load(upstream).rate.refill(now, q.perSecond, q.burst)
}

// outlook is when the upstreams of a service that take no request now will take some.
type outlook struct {
	// backingOff is set if upstreams ask this entry to back off, the first of them for the time backoff.
	backingOff bool
	backoff    time.Duration
	// limited is set if there are such upstreams; perSecond and tokens are sums over them.
	limited           bool
	perSecond, tokens float64
	// others is set if the service has upstreams that may take the request before.
	others bool
}

// add adds an upstream that lacks a token.
func (o *outlook) add(q quota, tokens float64) {
	o.limited = true
	o.perSecond += q.perSecond
	o.tokens += tokens
}

// close adds an upstream that is not eligible.
func (o *outlook) close(status fleet.Status) {
	o.others = o.others || mayReturn(status)
	if status.Backoff > 0 && (!o.backingOff || status.Backoff < o.backoff) {
		o.backingOff, o.backoff = true, status.Backoff
	}
}

// mayReturn reports whether an upstream without work may take some shortly.
func mayReturn(status fleet.Status) bool { return status.Returning || status.Ordered }

// delay returns when a request will be taken if ahead others get their tokens first: at the end of the first back-off, or with a
// token. It is unlimited if this entry has no part in the rates.
func (o *outlook) delay(ahead int) (d time.Duration) {
	d = math.MaxInt32 * time.Second
	if o.backingOff {
		d = o.backoff
	}
	if o.limited {
		d = min(d, o.tokenDelay(ahead))
	}
	return d
}

// tokenDelay returns when a request will have a token if ahead others get theirs first.
func (o *outlook) tokenDelay(ahead int) time.Duration {
	seconds := max(0, float64(ahead+1)-o.tokens) / o.perSecond
	if math.IsNaN(seconds) || seconds > math.MaxInt32 {
		return math.MaxInt32 * time.Second
	}
	return time.Duration(seconds * float64(time.Second))
}

// refuseClosed returns the refusal of a request that no upstream will take before its wait limit, since they ask to back off or have no
// token; nil if it may wait. Callers that are refused in a row are told different times: one for each token, or spread after the
// end of the first back-off.
func (m *Model) refuseClosed(now time.Time, w *waiting, tally Tally, o *outlook) []ident.Cmd {
	if !o.limited && !o.backingOff || o.others || tally.Full > 0 {
		return nil
	}
	ahead := 0
	for _, q := range m.queue {
		if q.need.Service == w.need.Service {
			ahead++
		}
	}
	delay := o.delay(ahead)
	if !now.Add(delay).After(w.until) {
		return nil
	}
	if o.backingOff && o.backoff <= delay {
		after := max(min(o.backoff, maxBackoffRetryAfter), minRetryAfter)
		return []ident.Cmd{RefuseCmd{Ticket: w.need.Ticket, RetryAfter: m.jitter(after), Reason: BackingOff, Expected: delay, Tally: tally}}
	}
	after, expected := maxRetryAfter, time.Duration(0)
	if o.perSecond > 0 {
		expected = delay
		stats := m.serviceStats(w.need.Service)
		at := now.Add(delay)
		if at.Before(stats.returnsUntil) {
			at = stats.returnsUntil
		}
		after = min(max(at.Sub(now), minRetryAfter), maxRetryAfter)
		stats.returnsUntil = now.Add(after + times.Duration(float64(time.Second)/o.perSecond))
	}
	return []ident.Cmd{RefuseCmd{Ticket: w.need.Ticket, RetryAfter: m.jitter(after), Reason: Limited, Expected: expected, Tally: tally}}
}
