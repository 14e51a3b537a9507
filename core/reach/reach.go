// Package reach tells an upstream that is down from one that only this entry can't reach.
//
// An entry that fails to reach an upstream asks the others. If one of them has had contact with the upstream since, the
// fault lies between this entry and the upstream.
package reach

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

const (
	// contactMargin is how much later than a failure the contact of another entry must be: what is told of the time is
	// late by the way of a message.
	contactMargin = 100 * time.Millisecond
	// contactMemory is how long after its last contact an upstream counts as reached.
	contactMemory = 3 * time.Second
	// probeInterval is the interval of probes of one upstream. For a lost one it doubles with each probe, up to maxProbeInterval,
	// but one of the lost upstreams is probed in each probeInterval.
	probeInterval    = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// answerInterval is that of probes for another entry, long enough for the next one to be later than its failure.
	answerInterval = 150 * time.Millisecond
	// probeSpacing is the minimum interval between two ticks with probes, and between two probes for other entries.
	probeSpacing = 100 * time.Millisecond
	// answerSpacingPerEntry is what each entry adds to the minimum interval between two probes for others, up to
	// maxAnswerSpacing: the more entries there are, the more ask about an upstream at a false alarm, and the more answer.
	answerSpacingPerEntry = 4 * time.Millisecond
	maxAnswerSpacing      = 250 * time.Millisecond
	// probeBurst bounds the probes of one tick.
	probeBurst = 2
	// doubtProbes is how many other upstreams are probed after a failure, at most every doubtInterval, and every lostInterval
	// while upstreams are lost and too few links are known, or most are lost.
	doubtProbes   = 8
	doubtInterval = 3 * time.Second
	lostInterval  = 500 * time.Millisecond
	// suspectInterval is the minimum interval between two probes of upstreams that leave requests unanswered. Under load
	// many are late, and every connection costs the upstream something.
	suspectInterval = time.Second
	// quietTime is how long ago the last contact with an upstream must be for a probe in doubt.
	quietTime = 200 * time.Millisecond
	// queryTTL is how long the question of another entry is answered.
	queryTTL = 2 * time.Second
	// regainInterval is the minimum interval between two sweeps of the lost upstreams after one is reached again. A congested
	// link brings single ones back all the time.
	regainInterval = 2 * time.Second
	// regainDelay is how long an entry must have its links again before it counts as connected.
	regainDelay = 2 * time.Second
	// lostRatio is how many links must be lost for each that is not. A congested link loses some at any time, and the
	// other entries would have to serve its callers over links of their own.
	lostRatio = 3
	// downAfter is how long no entry must have reached an upstream for it to be no link of this one: long enough to ask the others about all
	// that fail.
	downAfter = 5 * time.Second
	// sweepInterval is the interval at which upstreams that are not listed are forgotten.
	sweepInterval = 500 * time.Millisecond
	// minLost is how many upstreams an entry must have lost to count as partitioned, unless there are fewer that are not down, and minTried
	// how many must be known to be lost or reached.
	minLost  = 2
	minTried = doubtProbes
)

// FailedMsg reports that a connection to an upstream could not be opened.
type FailedMsg struct {
	ID ident.UpstreamID
	// At is when the attempt began.
	At time.Time
}

// SuspectMsg reports a request that an upstream has left unanswered for long.
type SuspectMsg struct {
	ID ident.UpstreamID
	// SentAt is when the request was sent.
	SentAt time.Time
}

// ContactMsg reports an answer of an upstream, or a connection that was opened to it.
type ContactMsg struct {
	ID ident.UpstreamID
	// At is when the answered request was sent.
	At time.Time
	// Opened is set if a connection was opened since.
	Opened bool
}

// HeardMsg reports the contact of another entry with an upstream.
type HeardMsg struct {
	ID ident.UpstreamID
	At time.Time
}

// QueryMsg reports that another entry has failed to reach an upstream.
type QueryMsg struct {
	ID ident.UpstreamID
	// Since is when its first failure began.
	Since time.Time
	// Entries counts the entries that may ask.
	Entries int
}

// GoneMsg reports that an upstream was removed.
type GoneMsg struct{ ID ident.UpstreamID }

// TickMsg triggers the periodic decisions. Listed are the upstreams that may be probed; they are needed while any fails.
type TickMsg struct{ Listed []ident.UpstreamID }

// ProbeCmd requests that a connection to an upstream be opened and closed. Its result is a [FailedMsg] or a [ContactMsg].
type ProbeCmd struct{ ID ident.UpstreamID }

// IsolatedCmd reports that only this entry can't reach an upstream, or that it reaches the upstream again.
type IsolatedCmd struct {
	ID       ident.UpstreamID
	Isolated bool
	// For is how long ago the first failure was.
	For time.Duration
}

// PartitionedCmd reports that this entry has lost most of its links, or has them again.
type PartitionedCmd struct {
	Partitioned bool
	// Lost and Reached count the upstreams.
	Lost, Reached int
}

// Report is an upstream, and how long ago something was.
type Report struct {
	ID  ident.UpstreamID
	Age time.Duration
}

// state is what is known of one upstream.
type state struct {
	// failedAt is when the first failure since the last contact began, unopenedAt the first since a connection was last
	// opened; zero if there is none.
	failedAt, unopenedAt time.Time
	// contactAt is this entry's last contact, openedAt the last one over a new connection, heardAt that of any other entry.
	contactAt, openedAt, heardAt time.Time
	// probedAt is when the last probe was requested, retryAfter how long after it the next one is due while the upstream is lost.
	probedAt   time.Time
	retryAfter time.Duration
	// askedAt is when another entry last asked.
	askedAt time.Time
	// queriedAt is when the others were last asked.
	queriedAt time.Time
	// isolated is the last value that was reported.
	isolated bool
}

// isIsolated reports whether another entry had contact since this one failed.
func (s *state) isIsolated() bool { return after(s.heardAt, s.failedAt) }

// isLost is like isIsolated, also while connections live on from before.
func (s *state) isLost() bool { return after(s.heardAt, s.unopenedAt) }

// after reports whether a contact of another entry is safely later than a failure, if there was one.
func after(contact, failure time.Time) bool {
	return !failure.IsZero() && contact.Sub(failure) > contactMargin
}

// Model holds one entry's view of its links to the upstreams. Its methods aren't safe for concurrent use.
type Model struct {
	states map[ident.UpstreamID]*state
	// lostSince is when the first failure of the upstreams that are lost began, zero if none is.
	lostSince time.Time
	// failing counts the states whose unopenedAt is set.
	failing int
	// partitioned is the last value that was reported; connectedSince is since when the links are back, zero otherwise.
	partitioned    bool
	connectedSince time.Time
	// settled is set while enough links are known for the judgement, and most of them are not lost.
	settled bool
	// doubtAt is when other upstreams were last probed in doubt, suspectAt when one that left a request unanswered was, probeAt
	// when any that fails was, and answerAt when one was for another entry.
	doubtAt, suspectAt, probeAt, answerAt time.Time
	// sweptAt is when upstreams that are not listed were last forgotten.
	sweptAt time.Time
	// regainedAt is when a lost upstream was last reached again and a sweep of the other lost ones began, zero if there was none.
	regainedAt time.Time
}

// NewModel returns a model in which every upstream may be reached.
//
//	m := reach.NewModel()
//	cmds := m.Update(now, reach.FailedMsg{ID: "e1", At: sentAt})
func NewModel() *Model { return &Model{states: map[ident.UpstreamID]*state{}} }

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case FailedMsg:
		m.fail(msg)
		return m.report(now, msg.ID)
	case SuspectMsg:
		s := m.state(msg.ID)
		answered, failing := s.contactAt.After(msg.SentAt), !s.unopenedAt.IsZero()
		if !answered && !failing && now.Sub(s.probedAt) >= probeInterval && now.Sub(m.suspectAt) >= suspectInterval {
			s.probedAt, m.suspectAt = now, now
			return []ident.Cmd{ProbeCmd{msg.ID}}
		}
	case ContactMsg:
		m.contact(now, msg)
		return m.report(now, msg.ID)
	case HeardMsg:
		s := m.state(msg.ID)
		s.heardAt = times.Later(s.heardAt, msg.At)
		return m.report(now, msg.ID)
	case QueryMsg:
		s := m.state(msg.ID)
		s.askedAt = now
		known := s.contactAt.After(msg.Since.Add(contactMargin))
		if !known && s.unopenedAt.IsZero() && now.Sub(s.probedAt) >= answerInterval && now.Sub(m.answerAt) >= answerSpacing(msg.Entries) {
			s.probedAt, m.answerAt = now, now
			return []ident.Cmd{ProbeCmd{msg.ID}}
		}
	case GoneMsg:
		m.forget(msg.ID)
	case TickMsg:
		if m.failing > 0 && now.Sub(m.sweptAt) >= sweepInterval {
			m.sweptAt = now
			m.forgetUnlisted(msg.Listed)
		}
		return append(m.probes(now, msg.Listed), m.judge(now, len(msg.Listed))...)
	}
	return nil
}

// answerSpacing returns the minimum interval between two probes of an entry for other ones.
func answerSpacing(entries int) time.Duration {
	return min(max(probeSpacing, time.Duration(entries)*answerSpacingPerEntry), maxAnswerSpacing)
}

func (m *Model) state(id ident.UpstreamID) *state {
	s, ok := m.states[id]
	if !ok {
		s = &state{}
		m.states[id] = s
	}
	return s
}

// forget drops what is known of an upstream.
func (m *Model) forget(id ident.UpstreamID) {
	if s := m.states[id]; s != nil && !s.unopenedAt.IsZero() {
		m.failing--
	}
	delete(m.states, id)
}

// forgetUnlisted forgets upstreams that are not listed, since messages may be about some that have gone.
func (m *Model) forgetUnlisted(listed []ident.UpstreamID) {
	known := make(map[ident.UpstreamID]bool, len(listed))
	for _, id := range listed {
		known[id] = true
	}
	for id := range m.states {
		if !known[id] {
			m.forget(id)
		}
	}
}

// fail records a failure, unless there was a contact since it began.
func (m *Model) fail(msg FailedMsg) {
	s := m.state(msg.ID)
	if s.contactAt.Before(msg.At) && s.failedAt.IsZero() {
		s.failedAt = msg.At
	}
	if s.openedAt.Before(msg.At) && s.unopenedAt.IsZero() {
		s.unopenedAt = msg.At
		m.failing++
	}
}

// contact records a contact. One that began before the last failure says nothing about it.
func (m *Model) contact(now time.Time, msg ContactMsg) {
	s := m.state(msg.ID)
	s.contactAt = times.Later(s.contactAt, msg.At)
	if msg.Opened {
		s.openedAt = times.Later(s.openedAt, msg.At)
	}
	if msg.Opened && !s.unopenedAt.IsZero() {
		m.failing--
		if s.isLost() && now.Sub(m.regainedAt) >= regainInterval {
			m.regainedAt = now
		}
		s.unopenedAt, s.retryAfter = time.Time{}, 0
	}
	if !msg.At.Before(s.failedAt) {
		s.failedAt = time.Time{}
	}
}

// report returns the command that follows if the upstream is isolated now or no longer.
func (m *Model) report(now time.Time, id ident.UpstreamID) (cmds []ident.Cmd) {
	s := m.states[id]
	if isolated := s.isIsolated(); isolated != s.isolated {
		s.isolated = isolated
		cmd := IsolatedCmd{ID: id, Isolated: isolated}
		if isolated {
			cmd.For = now.Sub(s.failedAt)
		}
		return []ident.Cmd{cmd}
	}
	return nil
}

// probes returns the probes that are due: of upstreams that only this entry can't reach, and of some others to find out
// whether they fail as well. What nobody reaches is left to requests.
func (m *Model) probes(now time.Time, listed []ident.UpstreamID) (cmds []ident.Cmd) {
	if m.failing == 0 {
		m.regainedAt = time.Time{}
		return nil
	}
	var lost, due, others []ident.UpstreamID
	interval, sweeping := doubtInterval, false
	for _, id := range listed {
		s := m.states[id]
		switch {
		case s != nil && s.isLost():
			if !m.settled {
				interval = lostInterval
			}
			lost = append(lost, id)
			unswept := s.probedAt.Before(m.regainedAt)
			sweeping = sweeping || unswept
			if unswept || now.Sub(s.probedAt) >= max(s.retryAfter, probeInterval) {
				due = append(due, id)
			}
		case s == nil || s.unopenedAt.IsZero() && now.Sub(s.contactAt) >= quietTime:
			others = append(others, id)
		}
	}
	if now.Sub(m.doubtAt) >= interval && !m.partitioned {
		m.doubtAt = now
		cmds = append(cmds, m.probe(now, others, doubtProbes)...)
	}
	burst := probeBurst
	if len(due) == 0 && now.Sub(m.probeAt) >= probeInterval {
		due, burst = lost, 1
	}
	if len(due) > 0 && (sweeping || now.Sub(m.probeAt) >= probeSpacing) {
		m.probeAt = now
		cmds = append(cmds, m.probe(now, due, burst)...)
	}
	return cmds
}

// probe returns probes of those upstreams that were probed the longest ago.
func (m *Model) probe(now time.Time, ids []ident.UpstreamID, count int) (cmds []ident.Cmd) {
	slices.SortFunc(ids, func(a, b ident.UpstreamID) int {
		return cmp.Or(m.state(a).probedAt.Compare(m.state(b).probedAt), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(count, len(ids))] {
		s := m.state(id)
		s.probedAt = now
		if s.isLost() {
			s.retryAfter = min(max(2*s.retryAfter, probeInterval), maxProbeInterval)
		}
		cmds = append(cmds, ProbeCmd{id})
	}
	return cmds
}

// judge returns the command that follows if the entry is partitioned now or no longer.
func (m *Model) judge(now time.Time, listed int) (cmds []ident.Cmd) {
	m.lostSince, m.settled = time.Time{}, false
	if m.failing == 0 && !m.partitioned {
		return nil
	}
	lost, reached, links := 0, 0, listed
	for _, s := range m.states {
		if s.isLost() && (m.lostSince.IsZero() || s.unopenedAt.Before(m.lostSince)) {
			m.lostSince = s.unopenedAt
		}
	}
	for _, s := range m.states {
		switch {
		case s.isLost():
			lost++
		case !s.unopenedAt.IsZero() && now.Sub(s.unopenedAt) >= downAfter:
			links--
		case s.unopenedAt.IsZero() && m.contacted(now, s):
			reached++
		}
	}
	known := lost+reached >= min(minTried, links)
	m.settled = known && !IsMost(lost, reached)
	if IsMost(lost, reached) && (m.partitioned || lost >= min(minLost, links) && known) {
		m.connectedSince = time.Time{}
		if !m.partitioned {
			m.partitioned = true
			return []ident.Cmd{PartitionedCmd{Partitioned: true, Lost: lost, Reached: reached}}
		}
		return nil
	}
	if m.connectedSince.IsZero() {
		m.connectedSince = now
	}
	if m.partitioned && now.Sub(m.connectedSince) >= regainDelay {
		m.partitioned = false
		return []ident.Cmd{PartitionedCmd{Lost: lost, Reached: reached}}
	}
	return nil
}

// contacted reports whether this entry had contact with an upstream lately. While upstreams are lost, only what came after
// the first failure counts.
func (m *Model) contacted(now time.Time, s *state) bool {
	return now.Sub(s.contactAt) < contactMemory && s.contactAt.After(m.lostSince)
}

// IsMost reports whether the links that are lost outweigh those that are not.
func IsMost(lost, reached int) bool { return lost > 0 && lost >= lostRatio*reached }

// Partitioned reports whether this entry has lost most of its links.
func (m *Model) Partitioned() bool { return m.partitioned }

// Isolated reports whether only this entry can't reach an upstream.
func (m *Model) Isolated(id ident.UpstreamID) bool {
	s, ok := m.states[id]
	return ok && s.isIsolated()
}

// Lost is like [Model.Isolated], also while connections live on from before.
func (m *Model) Lost(id ident.UpstreamID) bool {
	s, ok := m.states[id]
	return ok && s.isLost()
}

// Reached reports whether this entry had contact with an upstream lately.
func (m *Model) Reached(now time.Time, id ident.UpstreamID) bool {
	s, ok := m.states[id]
	return ok && s.failedAt.IsZero() && m.contacted(now, s)
}

// Contacted reports whether any entry had contact with an upstream after a time.
func (m *Model) Contacted(id ident.UpstreamID, at time.Time) bool {
	s, ok := m.states[id]
	return ok && (s.contactAt.After(at) || after(s.heardAt, at))
}

// ContactAt returns when the newest request was sent, or connection opened, that an upstream has answered to this entry; zero if
// there was none.
func (m *Model) ContactAt(id ident.UpstreamID) (at time.Time) {
	if s, ok := m.states[id]; ok {
		at = s.contactAt
	}
	return at
}

// QueriedAt returns when the other entries were last asked about an upstream that this one can't reach, zero if they were not.
func (m *Model) QueriedAt(id ident.UpstreamID) (at time.Time) {
	if s, ok := m.states[id]; ok {
		at = s.queriedAt
	}
	return at
}

// Failing counts the upstreams to which no connection can be opened.
func (m *Model) Failing() (count int) { return m.failing }

// Queries returns the upstreams about which to ask the other entries and the ages of the failures, at most count, those
// asked about the longest ago first.
func (m *Model) Queries(now time.Time, count int) (reports []Report) {
	if m.failing == 0 {
		return nil
	}
	for id, s := range m.states {
		if !s.unopenedAt.IsZero() && (!s.isLost() || !s.failedAt.IsZero() && !s.isIsolated()) {
			reports = append(reports, Report{ID: id, Age: now.Sub(times.Later(s.unopenedAt, s.failedAt))})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(m.states[a.ID].queriedAt.Compare(m.states[b.ID].queriedAt), cmp.Compare(a.ID, b.ID))
	})
	reports = reports[:min(count, len(reports))]
	for _, r := range reports {
		m.states[r.ID].queriedAt = now
	}
	return reports
}

// Answers returns the contacts with upstreams about which other entries ask, at most count, the newest first.
func (m *Model) Answers(now time.Time, count int) (reports []Report) {
	for id, s := range m.states {
		if now.Sub(s.askedAt) < queryTTL && now.Sub(s.contactAt) < contactMemory {
			reports = append(reports, Report{ID: id, Age: now.Sub(s.contactAt)})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return reports[:min(count, len(reports))]
}
