package once

import (
	"time"

	"cicadavalve/core/chart"
	"cicadavalve/core/ident"
)

// askLimit exceeds the time that a round may take.
const askLimit = time.Second

// asks groups the attempts that wait to learn whether an earlier one was sent. An
// entry sends only what it has folded, so that where no member has folded more than
// this entry, this entry knows of every sending before the question.
type asks struct {
	// round numbers the questions; it never decreases.
	round int64
	// begun is when the round in progress was asked; zero where there is none.
	begun time.Time
	// asked belong to the round in progress, waiting came after it was asked.
	asked   []*attempt
	waiting []*attempt
}

// ask lets an attempt wait for the answers to a question that is asked after it came.
func (m *Model) ask(now time.Time, a *attempt) []ident.Cmd {
	m.asks.waiting = append(m.asks.waiting, a)
	return m.beginRound(now)
}

// beginRound asks for the attempts that wait, or whether the members know of this one.
func (m *Model) beginRound(now time.Time) []ident.Cmd {
	announce := m.members.mustAnnounce(now)
	if !m.asks.begun.IsZero() || len(m.asks.waiting) == 0 && !announce {
		return nil
	}
	if announce {
		m.members.announcing = now
	}
	m.asks.round++
	m.asks.begun = now
	m.asks.asked, m.asks.waiting = m.asks.waiting, nil
	return []ident.Cmd{AskCmd{m.asks.round}}
}

// positions ends a round: this entry has missed no sending where no member is ahead of it
// and no departed one can be.
func (m *Model) positions(now time.Time, msg PositionsMsg) []ident.Cmd {
	if msg.Round != m.asks.round || m.asks.begun.IsZero() {
		return nil
	}
	m.members.told(msg)
	event := chart.Event("doubted")
	if msg.All && m.Known() && m.members.complete() && msg.Next <= m.keys.next {
		event = "cleared"
	}
	return m.endRound(now, event)
}

func (m *Model) endRound(now time.Time, event chart.Event) (cmds []ident.Cmd) {
	asked := m.asks.asked
	m.asks.asked, m.asks.begun = nil, time.Time{}
	for _, a := range asked {
		cmds = append(cmds, m.step(now, a, cause{event: event, reason: a.reason, retryAfter: logRetryAfter})...)
	}
	return append(cmds, m.beginRound(now)...)
}

// expireRound answers those that wait for members that don't answer.
func (m *Model) expireRound(now time.Time) []ident.Cmd {
	if m.asks.begun.IsZero() || now.Sub(m.asks.begun) < askLimit {
		return nil
	}
	return m.endRound(now, "doubted")
}
