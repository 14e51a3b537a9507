package once

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// fold takes a batch whole before it decides, so that an attempt which a later
// record of the batch has ended is not sent.
func (m *Model) fold(now time.Time, batch ledger.BatchMsg) (cmds []ident.Cmd) {
	if batch.Stream != StreamOnce {
		return nil
	}
	m.batchAt = now
	if m.gap == nil && batch.Gap(m.keys.next) {
		cmds = append(cmds, m.openGap(now, batch.First)...)
	}
	var own []Body
	for _, e := range batch.Entries {
		own = append(own, m.take(now, e)...)
	}
	if m.gap == nil && m.keys.next >= batch.Next {
		m.caughtUp = true
		m.members.readAt = batch.Asked
	}
	for _, body := range own {
		cmds = append(cmds, m.decide(now, body)...)
	}
	return append(cmds, m.snapshot(batch)...)
}

// take folds one record and returns the body of a start that this incarnation wrote.
func (m *Model) take(now time.Time, e ledger.Entry) (own []Body) {
	if m.gap != nil {
		return m.takeInGap(now, e)
	}
	if e.Offset < m.keys.next {
		return nil
	}
	m.noteSnapshot(e.Record)
	delete(m.ends, e.Record.ID)
	body, about := m.keys.fold(now, e)
	if !about || e.Record.Kind != KindStart {
		return nil
	}
	if k, held := m.keys.held[body.Key]; held && k.offset == e.Offset {
		m.open = append(m.open, k)
	}
	if body.Entry != m.entry || body.Incarnation != m.incarnation {
		return nil
	}
	return []Body{body}
}

// decide looks at a start of this incarnation after its batch was folded.
func (m *Model) decide(now time.Time, body Body) []ident.Cmd {
	k, held := m.keys.held[body.Key]
	won := held && k.attempt == body.Attempt && k.state == stateStarted
	a, live := m.attempts[body.Attempt]
	switch {
	case live && won:
		return m.step(now, a, cause{event: "won", reason: ReasonLate, retryAfter: logRetryAfter})
	case live:
		return m.step(now, a, cause{event: "lost"})
	case won:
		return m.step(now, &attempt{body: body, state: stateEnded}, cause{event: "won"})
	}
	return nil
}

// abandonAll ends the attempts that other incarnations have left without an end.
func (m *Model) abandonAll(now time.Time) (cmds []ident.Cmd) {
	m.open = compact(m.open, func(k *keyState) bool { return k.state == stateStarted && m.keys.held[k.key] == k })
	for _, k := range m.open {
		cmds = append(cmds, m.abandon(now, k, m.spread(k))...)
	}
	return cmds
}

// abandon ends an attempt as unknown once it is older than the age at which no
// entry can still begin to send it. The key never becomes free by it.
func (m *Model) abandon(now time.Time, k *keyState, extra time.Duration) []ident.Cmd {
	_, mine := m.attempts[k.attempt]
	if mine || k.state != stateStarted || now.Sub(k.since) < m.abandonAge+extra {
		return nil
	}
	return m.appendEnd(now, KindUnknown, Body{
		Key: k.key, Digest: k.digest, Attempt: k.attempt, Entry: k.entry, Incarnation: k.incarnation,
	})
}

// spread lets the entries end an abandoned attempt at different times, so that the first one's record spares the rest.
func (m *Model) spread(k *keyState) time.Duration {
	return time.Duration(xxhash.Sum64String(string(m.entry)+k.attempt) % uint64(abandonSpread))
}
