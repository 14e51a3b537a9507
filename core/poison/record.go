package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records that this package appends to [ledger.StreamVerdict].
const (
	KindLoss       ledger.Kind = "loss"
	KindQuarantine ledger.Kind = "quarantine"
)

const (
	// resendInterval is the time between appends of a record that the log does not show.
	resendInterval = 3 * time.Second
	// mostUnread bounds the records that wait for the log; the oldest go first.
	mostUnread = 1024
)

// LossBody is the body of a [KindLoss] record.
type LossBody struct {
	Digest Digest `json:"digest"`
	Loss   Loss   `json:"loss"`
	// Alone is true where the request was the only one of its entry on the upstream.
	Alone bool `json:"alone"`
}

// QuarantineBody is the body of a [KindQuarantine] record.
type QuarantineBody struct {
	Digest Digest `json:"digest"`
	// Losses are the upstreams that were lost with the request.
	Losses []Loss `json:"losses"`
}

// AppendCmd asks to append a record to [ledger.StreamVerdict].
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// lossRecord has the same id on every entry that saw the loss.
func lossRecord(entry ident.EntryID, d Digest, loss Loss, alone bool) ledger.Record {
	id := fmt.Sprintf("loss/%s/%s/%s/%d", d, loss.Upstream, loss.Boot, loss.Again)
	return encode(id, KindLoss, entry, LossBody{d, loss, alone})
}

func quarantineRecord(entry ident.EntryID, d Digest, losses []Loss) ledger.Record {
	return encode("quarantine/"+string(d), KindQuarantine, entry, QuarantineBody{d, losses})
}

func encode(id string, kind ledger.Kind, entry ident.EntryID, body any) ledger.Record {
	rec, err := ledger.NewRecord(id, kind, string(entry), body)
	if err != nil {
		panic(err) // The bodies hold only strings.
	}
	return rec
}

func (m *Model) publish(rec ledger.Record) []ident.Cmd {
	m.outbox = append(m.outbox, rec)
	if len(m.outbox) > mostUnread {
		m.outbox = m.outbox[1:]
	}
	return []ident.Cmd{AppendCmd{rec}}
}

// resend appends the outbox again, for the case that the log was away.
func (m *Model) resend(now time.Time) (cmds []ident.Cmd) {
	if len(m.outbox) == 0 || now.Sub(m.resent) < resendInterval {
		return nil
	}
	// The first interval passes without a resend, so that the log has time to show the records.
	first := m.resent.IsZero()
	m.resent = now
	if first {
		return nil
	}
	for _, rec := range m.outbox {
		cmds = append(cmds, AppendCmd{rec})
	}
	return cmds
}

// Next is the offset of the first record not folded yet.
func (m *Model) Next() int64 { return m.next }

// Fold takes a batch of [ledger.StreamVerdict]; what the log no longer keeps is passed over.
func (m *Model) Fold(now time.Time, batch ledger.BatchMsg) {
	m.next = max(m.next, batch.First)
	for _, e := range batch.Entries {
		if e.Offset < m.next {
			continue
		}
		m.next = e.Offset + 1
		m.outbox = slices.DeleteFunc(m.outbox, func(r ledger.Record) bool { return r.ID == e.Record.ID })
		m.foldRecord(now, e.Record)
	}
}

func (m *Model) foldRecord(now time.Time, rec ledger.Record) {
	switch rec.Kind {
	case KindTrial, KindTrialEnd:
		m.foldTrial(now, rec)
	case KindRelease:
		var body ReleaseBody
		if json.Unmarshal(rec.Body, &body) == nil {
			m.release(body)
		}
	case KindLoss:
		var body LossBody
		if json.Unmarshal(rec.Body, &body) == nil {
			m.claim(now, body.Digest, body.Loss, body.Alone)
		}
	case KindQuarantine:
		var body QuarantineBody
		if json.Unmarshal(rec.Body, &body) == nil {
			m.convict(body.Digest, body.Losses)
		}
	}
}

func (m *Model) foldTrial(now time.Time, rec ledger.Record) {
	var body TrialBody
	if json.Unmarshal(rec.Body, &body) != nil {
		return
	}
	if rec.Kind == KindTrialEnd {
		m.closeTrial(body)
		return
	}
	m.openTrial(now, body)
}
