package place

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/recall"
	"cicadavalve/core/times"
)

// WithRecall has requests recalled whose first byte is overdue. Without it, none is.
func WithRecall() Option {
	return func(m *Model) { m.recalls = true }
}

// recallOverdue returns the commands that end the exchanges of requests whose first byte is overdue and that another upstream is expected
// to answer clearly sooner. None is recalled from a service for which others are queued: these have no upstream yet.
func (m *Model) recallOverdue(now time.Time) (cmds []ident.Cmd) {
	if !m.recalls {
		return nil
	}
	var waiting []recall.Request
	queued := map[ident.ServiceName]bool{}
	for _, w := range m.queue {
		queued[w.need.Service] = true
	}
	for _, t := range slices.Sorted(maps.Keys(m.sent)) {
		if s := m.sent[t]; !queued[s.need.Service] && m.mayRecall(s) {
			waiting = append(waiting, m.waitingRequest(now, s))
		}
	}
	for _, r := range recall.Select(waiting, func(r recall.Request) (time.Duration, bool) { return m.target(now, m.sent[Ticket(r.ID)]) }) {
		s := m.sent[Ticket(r.Request.ID)]
		s.overdue = true
		cmds = append(cmds, RecallCmd{
			Ticket: s.need.Ticket, Upstream: s.upstream, Service: s.need.Service, Overdue: true, Waited: r.Request.Elapsed, Expected: s.expected, Target: r.Target,
		})
	}
	return cmds
}

// mayRecall reports whether a request may be recalled: it has not begun as far as is known, and may run again elsewhere. The head
// of an answer that is no stream comes when the run has ended. A sample of a release that is being rolled out shows how slow that is.
func (m *Model) mayRecall(s *sent) bool {
	return s.need.Repeatable && !s.need.Sampled && !s.overdue && !s.recalled && !s.answered && (s.need.Stream || !s.headed)
}

// waitingRequest returns the times by which it is decided whether a request is recalled.
func (m *Model) waitingRequest(now time.Time, s *sent) recall.Request {
	own := m.serviceStats(s.need.Service).call
	if len(s.chain) > 0 {
		own = m.serviceStats(s.need.Service).firstByte(s.backlog)
	}
	if u, listed := m.fleet.Get(s.upstream); listed {
		own *= m.slowdown(now, &u, m.upstreamStats(u.ID))
	}
	r := recall.Request{
		ID: uint64(s.need.Ticket), Elapsed: now.Sub(s.at), Expected: s.expected, Own: times.Duration(own), Left: s.need.Deadline.Sub(now),
	}
	if r.Due = r.Left; s.need.Objective > 0 {
		r.Due = s.need.Arrived.Add(s.need.Objective).Sub(now)
	}
	return r
}

// target returns the time to the first byte that is expected at the best other upstream for a request; ok is false if none would take it
// in time.
func (m *Model) target(now time.Time, s *sent) (expected time.Duration, ok bool) {
	m.noteOverdue(now, s)
	need := *m.served(&s.need)
	need.slowSource = s.fetchFrom
	m.again(&need)
	best, _, _ := m.chooseRelease(now, &need, append(slices.Clone(s.avoid), s.upstream), "")
	if best == nil || now.Add(best.firstByte).After(need.Deadline) || m.late(now, &need, best) {
		return 0, false
	}
	return best.firstByte, true
}

// slowSource returns the holder from which the request does not fetch again when it is sent once more.
func (s *sent) slowSource() parts.Holder {
	if s.overdue && s.fetchFrom != "" {
		return s.fetchFrom
	}
	return s.need.slowSource
}

// noteOverdue applies, once, that a first byte has not come within the expected time: to the link over which the request fetches parts, or to
// its upstream. Without that, others would still be sent there, and the recalled request would fetch over the same link again.
func (m *Model) noteOverdue(now time.Time, s *sent) {
	elapsed := now.Sub(s.at)
	if s.noted || elapsed <= s.expected {
		return
	}
	s.noted = true
	switch {
	case s.fetchFrom != "":
		m.link(s.fetchFrom).observe(now, elapsed-s.expected, s.fetchDelay)
	case s.expected > 0:
		stats := m.upstreamStats(s.upstream)
		stats.observe(now, stats.slowdown*float64(elapsed)/float64(s.expected))
	}
}
