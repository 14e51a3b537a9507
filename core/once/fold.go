package once

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// fold folds a whole batch before it decides on this incarnation's starts, so that an attempt
// that a later record of the batch ends is not sent.
func (m *Model) fold(now time.Time, batch ledger.BatchMsg) (cmds []ident.Cmd) {
	if batch.Stream != StreamOnce {
		return nil
	}
	m.lastBatchAt = now
	if m.gap == nil && batch.Gap(m.keys.next) {
		cmds = append(cmds, m.openGap(now, batch.First)...)
	}
	var own []Body
	for _, e := range batch.Entries {
		own = append(own, m.foldRecord(now, e)...)
	}
	if m.gap == nil && m.keys.next >= batch.Next {
		m.caughtUp = true
		m.members.fullReadBegan = batch.ReadStart
	}
	for _, body := range own {
		cmds = append(cmds, m.decideStart(now, body)...)
	}
	return append(cmds, m.snapshotIfDue(batch)...)
}

// foldRecord folds one record and returns the body of a start that this incarnation wrote.
func (m *Model) foldRecord(now time.Time, e ledger.Entry) (own []Body) {
	if m.gap != nil {
		return m.foldRecordInGap(now, e)
	}
	if e.Offset < m.keys.next {
		return nil
	}
	m.noteSnapshot(e.Record)
	delete(m.ends, e.Record.ID)
	body, valid := m.keys.fold(now, e)
	if !valid || e.Record.Kind != KindStart {
		return nil
	}
	if k, held := m.keys.held[body.Key]; held && k.offset == e.Offset {
		m.openKeys = append(m.openKeys, k)
	}
	if body.Entry != m.entry || body.Incarnation != m.incarnation {
		return nil
	}
	return []Body{body}
}

// decideStart steps the attempt of a start of this incarnation, by whether the start won its key.
func (m *Model) decideStart(now time.Time, body Body) []ident.Cmd {
	k, held := m.keys.held[body.Key]
	won := held && k.attempt == body.Attempt && k.state == stateStarted
	a, live := m.attempts[body.Attempt]
	switch {
	case live && won:
		return m.step(now, a, attemptEvent{event: "won", reason: ReasonLogSlow, retryAfter: logRetryAfter})
	case live:
		return m.step(now, a, attemptEvent{event: "lost"})
	case won:
		return m.step(now, &attempt{body: body, state: stateEnded}, attemptEvent{event: "won"})
	}
	return nil
}

// abandonAll ends the attempts of other incarnations that have had no end for too long.
func (m *Model) abandonAll(now time.Time) (cmds []ident.Cmd) {
	m.openKeys = filter(m.openKeys, func(k *keyState) bool { return k.state == stateStarted && m.keys.held[k.key] == k })
	for _, k := range m.openKeys {
		cmds = append(cmds, m.abandon(now, k, m.jitter(k))...)
	}
	return cmds
}

// abandon ends an attempt that is not open on this entry as unknown once it is older than the abandon
// age plus a delay. No entry can begin to send it by then. The key stays taken.
func (m *Model) abandon(now time.Time, k *keyState, delay time.Duration) []ident.Cmd {
	_, own := m.attempts[k.attempt]
	if own || k.state != stateStarted || now.Sub(k.foldedAt) < m.abandonAge+delay {
		return nil
	}
	return m.appendEnd(now, KindUnknown, Body{
		Key: k.key, Digest: k.digest, Attempt: k.attempt, Entry: k.entry, Incarnation: k.incarnation,
	})
}

// jitter returns a delay that differs between entries, so that they end an abandoned attempt at
// different times and the first one's record saves the others theirs.
func (m *Model) jitter(k *keyState) time.Duration {
	return time.Duration(xxhash.Sum64String(string(m.entry)+k.attempt) % uint64(abandonSpread))
}
