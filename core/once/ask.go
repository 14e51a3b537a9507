package once

import (
	"time"

	"cicadavalve/core/chart"
	"cicadavalve/core/ident"
)

// roundTimeout exceeds the longest time that the members take to answer a round.
const roundTimeout = time.Second

// positionRounds batches the refused and given-up attempts, whose answers depend on whether an earlier
// attempt with their key was sent. An entry sends only attempts whose start it has folded. So if no
// member has folded more than this entry, this entry has folded the start of every attempt that was
// sent before the round.
type positionRounds struct {
	// number identifies the newest round; it never decreases.
	number int64
	// startedAt is when the round in progress began; zero if there is none.
	startedAt time.Time
	// current holds the attempts of the round in progress, next those that arrived after it began.
	current []*attempt
	next    []*attempt
}

// awaitRound adds an attempt to the next round, as only a round that begins after its arrival covers it.
func (m *Model) awaitRound(now time.Time, a *attempt) []ident.Cmd {
	m.rounds.next = append(m.rounds.next, a)
	return m.beginRound(now)
}

// beginRound asks the members for their positions if attempts wait or the join has to be announced.
func (m *Model) beginRound(now time.Time) []ident.Cmd {
	announce := m.members.announceDue(now)
	if !m.rounds.startedAt.IsZero() || len(m.rounds.next) == 0 && !announce {
		return nil
	}
	if announce {
		m.members.announceAskedAt = now
	}
	m.rounds.number++
	m.rounds.startedAt = now
	m.rounds.current, m.rounds.next = m.rounds.next, nil
	return []ident.Cmd{AskCmd{m.rounds.number}}
}

// handlePositions ends a round. Its attempts are cleared if every member answered, none is ahead of this
// entry and no departed one can be: then this entry has folded the start of every attempt that was sent.
// Otherwise an earlier attempt with the key may have been sent.
func (m *Model) handlePositions(now time.Time, msg PositionsMsg) []ident.Cmd {
	if msg.Round != m.rounds.number || m.rounds.startedAt.IsZero() {
		return nil
	}
	m.members.noteAnnounced(msg)
	event := chart.Event("doubted")
	if msg.All && m.Ready() && m.members.complete() && msg.Next <= m.keys.next {
		event = "cleared"
	}
	return m.endRound(now, event)
}

func (m *Model) endRound(now time.Time, event chart.Event) (cmds []ident.Cmd) {
	attempts := m.rounds.current
	m.rounds.current, m.rounds.startedAt = nil, time.Time{}
	for _, a := range attempts {
		cmds = append(cmds, m.step(now, a, attemptEvent{event: event, reason: a.reason, retryAfter: logRetryAfter})...)
	}
	return append(cmds, m.beginRound(now)...)
}

// expireRound ends a round whose answers are overdue.
func (m *Model) expireRound(now time.Time) []ident.Cmd {
	if m.rounds.startedAt.IsZero() || now.Sub(m.rounds.startedAt) < roundTimeout {
		return nil
	}
	return m.endRound(now, "doubted")
}
