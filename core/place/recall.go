package place

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// recallMargin is how long before its run would begin too late a request is recalled: the upstream must have seen its connection
	// close by then.
	recallMargin = 300 * time.Millisecond
	// recallWindow is for how long after that such requests are looked for. None is sent any more.
	recallWindow = time.Second
)

// RecallCmd ends the exchange of a request that has waited at its upstream for so long that it would begin on weights that have been
// outdated for too long, or whose first byte is overdue.
type RecallCmd struct {
	Ticket   Ticket
	Upstream ident.UpstreamID
	Service  ident.ServiceName
	// Overdue is set if the first byte is overdue. The request must then only be recalled if the retry budget allows it to be sent again.
	Overdue bool
	// Waited is the time since it was sent, Expected the time to the first byte that was expected then, and Target the one that is
	// expected at another upstream now. They are set if Overdue is.
	Waited, Expected, Target time.Duration
}

// recall returns the commands that end the exchanges of requests that have not begun and may not begin any more. Only streams
// show whether they have.
func (m *Model) recall(now time.Time) (cmds []ident.Cmd) {
	if !m.hasRecalls(now) {
		return nil
	}
	for _, t := range slices.Sorted(maps.Keys(m.sent)) {
		s := m.sent[t]
		if s.answered || s.recalled || !s.need.Stream || s.model == "" {
			continue
		}
		u, listed := m.fleet.Get(s.upstream)
		if !listed {
			continue
		}
		if newer, outdated := m.newer(s.model, u.Weights[s.model]); outdated && !now.Before(newer.end.Add(-recallMargin)) {
			s.recalled = true
			cmds = append(cmds, RecallCmd{Ticket: t, Upstream: s.upstream, Service: s.need.Service})
		}
	}
	return cmds
}

// hasRecalls reports whether the time has come to recall what waits on weights older than some version.
func (m *Model) hasRecalls(now time.Time) (ok bool) {
	for _, versions := range m.versions {
		for _, n := range versions {
			if since := now.Sub(n.end.Add(-recallMargin)); since >= 0 && since < recallWindow {
				return true
			}
		}
	}
	return false
}
