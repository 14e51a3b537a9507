package poison

import (
	"encoding/json"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

const (
	// maxSends is how often a new record is sent, since messages may be lost. A first loss is sent less often: each
	// request that was in flight at a crash has one, and it restricts nothing by itself.
	maxSends          = 4
	maxFirstLossSends = 2
	// sendInterval is the least time between two sends of a new record. Together with maxSends, a record survives the
	// loss of every message in a third of a second.
	sendInterval = 150 * time.Millisecond
	// maxNew limits the new records in one message.
	maxNew = 24
	// repeatInterval is the time between two known records that an entry receives, from whichever other entry, so that
	// their rate does not grow with the number of entries.
	repeatInterval = 125 * time.Millisecond
	// repeatPeriod is how long a loss is repeated; quarantines are repeated as long as they last.
	repeatPeriod = time.Minute
	// maxEvents limits the events that wait to be taken.
	maxEvents = 4096
)

// sharing shares records in messages.
type sharing struct {
	// fresh holds the records that are to be sent again, the oldest first.
	fresh []freshRecord
	// repeatedAt is when a known record was last sent.
	repeatedAt time.Time
	// position counts the known records sent so far, from a start that differs between entries.
	position uint64
}

// freshRecord is a record that is sent to the other entries.
type freshRecord struct {
	record ledger.Record
	// left is how often it is still to be sent.
	left   int
	sentAt time.Time
	// minor is set if the record is about a single loss.
	minor bool
}

// add adds a record that is to be sent a number of times.
func (s *sharing) add(rec ledger.Record, sends int) {
	s.fresh = append(s.fresh, freshRecord{record: rec, left: sends, minor: sends < maxSends})
	if len(s.fresh) > maxOutbox {
		s.fresh = s.fresh[1:]
	}
}

// Share returns the records for the next message to all other entries: new ones a few times each, and in turn those
// already known, from which an entry that has started or was cut off learns what it has missed. Entries is how many
// entries share records.
//
//	for _, rec := range m.Share(now, len(alive)) { message.Add(rec.Kind, rec.Body) }
func (m *Model) Share(now time.Time, entries int) (records []ledger.Record) {
	s := m.sharing
	if s == nil {
		return nil
	}
	// Single losses are many after a crash; other records don't wait for them.
	for _, areMinor := range []bool{false, true} {
		for i := range s.fresh {
			r := &s.fresh[i]
			if len(records) < maxNew && r.minor == areMinor && now.Sub(r.sentAt) >= sendInterval {
				records = append(records, r.record)
				r.left, r.sentAt = r.left-1, now
			}
		}
	}
	s.fresh = slices.DeleteFunc(s.fresh, func(r freshRecord) bool { return r.left == 0 })
	if now.Sub(s.repeatedAt) < time.Duration(entries)*repeatInterval {
		return records
	}
	s.repeatedAt = now
	return append(records, m.repeat(now)...)
}

// HasNew reports whether [Model.Share] would return a record that has not been sent yet.
func (m *Model) HasNew() bool {
	return m.sharing != nil && slices.ContainsFunc(m.sharing.fresh, func(r freshRecord) bool { return r.sentAt.IsZero() })
}

// repeat returns the records of the next request in turn, of those in quarantine and those with recent losses.
func (m *Model) repeat(now time.Time) (records []ledger.Record) {
	recent := m.recentClaims(now)
	quarantined := m.quarantined.Keys()
	total := uint64(len(quarantined) + len(recent))
	if total == 0 {
		return nil
	}
	i := m.sharing.position % total
	m.sharing.position++
	if i < uint64(len(quarantined)) {
		d := quarantined[i]
		q := m.quarantineOf(d)
		return []ledger.Record{m.quarantineRecord(d, q.losses, q.since)}
	}
	d := recent[i-uint64(len(quarantined))]
	for _, c := range m.claimsOf(d) {
		if c.confirmed {
			records = append(records, lossRecord(m.entry, d, c.loss, c.alone, true))
		}
	}
	return records
}

// recentClaims returns the requests whose first loss is so recent that it is repeated.
func (m *Model) recentClaims(now time.Time) []Digest {
	// Each request that was in flight at a crash has parts with one loss, which restrict nothing.
	digests := slices.DeleteFunc(m.claims.Keys(), func(d Digest) bool { return d.IsPart() && len(m.claimsOf(d)) < suspectAfter })
	first := len(digests)
	for first > 0 && now.Sub(m.claimsOf(digests[first-1])[0].since) < repeatPeriod {
		first--
	}
	return digests[first:]
}

// Receive applies a record that another entry shared. A record that can't be decoded has no effect.
func (m *Model) Receive(now time.Time, kind ledger.Kind, body json.RawMessage) (err error) {
	return m.foldRecord(now, ledger.Record{Kind: kind, Body: body})
}

// ReceiveLoss applies the body of a [KindLoss] record that another entry shared.
func (m *Model) ReceiveLoss(now time.Time, body LossBody) { m.foldLoss(now, body) }

// ConfirmedCmd reports that a loss was confirmed, if this entry observed it or the request has several.
type ConfirmedCmd struct {
	Digest Digest
	Loss   Loss
	Alone  bool
	// Age is the time since the loss became known to this entry.
	Age time.Duration
}

// QuarantinedCmd reports that a request is in quarantine.
type QuarantinedCmd struct {
	Digest Digest
	Losses []Loss
	Since  time.Time
	// Tried is how often a part in quarantine was tried again.
	Tried int
}

// ReleasedCmd reports that an answer disproved the losses of a key in quarantine.
type ReleasedCmd struct{ Digest Digest }

// DisprovedCmd reports that an answer disproved several losses of a request.
type DisprovedCmd struct {
	Digest Digest
	Losses []Loss
}

// ExpiredCmd reports that the quarantine of a request has lasted for its retention.
type ExpiredCmd struct{ Digest Digest }

func (m *Model) notify(event ident.Cmd) {
	if m.sharing != nil && len(m.events) < maxEvents {
		m.events = append(m.events, event)
	}
}

// TakeEvents returns the changes since the last call.
func (m *Model) TakeEvents() (events []ident.Cmd) {
	m.remember()
	events, m.events = m.events, nil
	return events
}
