package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records about losses and quarantines in [ledger.StreamVerdict].
const (
	KindLoss       ledger.Kind = "loss"
	KindQuarantine ledger.Kind = "quarantine"
)

const (
	// resendInterval is the time between resends of the records that have not been read back.
	resendInterval = 3 * time.Second
	// maxOutbox limits the records in the outbox; the oldest are dropped first.
	maxOutbox = 1024
)

// LossBody is the body of a [KindLoss] record.
type LossBody struct {
	Digest Digest `json:"digest"`
	Loss   Loss   `json:"loss"`
	// Alone is true if the request was the only one that its entry had on the upstream.
	Alone bool `json:"alone"`
}

// QuarantineBody is the body of a [KindQuarantine] record.
type QuarantineBody struct {
	Digest Digest `json:"digest"`
	// Losses are the confirmed losses of the request.
	Losses []Loss `json:"losses"`
}

// AppendCmd asks to append a record to [ledger.StreamVerdict].
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// lossRecord returns a loss record; its id is the same on every entry that observed the loss.
func lossRecord(entry ident.EntryID, d Digest, loss Loss, alone bool) ledger.Record {
	id := fmt.Sprintf("loss/%s/%s/%s/%d", d, loss.Upstream, loss.Boot, loss.EarlierLosses)
	return newRecord(id, KindLoss, entry, LossBody{d, loss, alone})
}

func quarantineRecord(entry ident.EntryID, d Digest, losses []Loss) ledger.Record {
	return newRecord("quarantine/"+string(d), KindQuarantine, entry, QuarantineBody{d, losses})
}

func newRecord(id string, kind ledger.Kind, entry ident.EntryID, body any) ledger.Record {
	rec, err := ledger.NewRecord(id, kind, string(entry), body)
	if err != nil {
		panic(err) // The bodies hold only strings.
	}
	return rec
}

// publish adds a record to the outbox and appends it.
func (m *Model) publish(rec ledger.Record) []ident.Cmd {
	m.outbox = append(m.outbox, rec)
	if len(m.outbox) > maxOutbox {
		m.outbox = m.outbox[1:]
	}
	return []ident.Cmd{AppendCmd{rec}}
}

// resend appends the outbox again, in case the log was unavailable.
func (m *Model) resend(now time.Time) (cmds []ident.Cmd) {
	if len(m.outbox) == 0 || now.Sub(m.lastResend) < resendInterval {
		return nil
	}
	// Nothing is resent in the first interval, so that the records have time to be read back.
	first := m.lastResend.IsZero()
	m.lastResend = now
	if first {
		return nil
	}
	for _, rec := range m.outbox {
		cmds = append(cmds, AppendCmd{rec})
	}
	return cmds
}

// Next returns the offset of the first record not folded yet.
func (m *Model) Next() int64 { return m.next }

// Fold applies a batch of [ledger.StreamVerdict]; records that the log no longer retains are skipped.
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
			m.applyRelease(body)
		}
	case KindLoss:
		var body LossBody
		if json.Unmarshal(rec.Body, &body) == nil {
			m.addClaim(now, body.Digest, body.Loss, body.Alone)
		}
	case KindQuarantine:
		var body QuarantineBody
		if json.Unmarshal(rec.Body, &body) == nil {
			m.quarantine(body.Digest, body.Losses)
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
