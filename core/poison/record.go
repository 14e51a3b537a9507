package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records about losses and quarantines in [ledger.StreamVerdict].
const (
	KindLoss       ledger.Kind = "loss"
	KindQuarantine ledger.Kind = "quarantine"
	KindAnswer     ledger.Kind = "answer"
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
	// Alone is true if the request was on trial.
	Alone bool `json:"alone"`
	// Confirmed is true if the upstream is known to have restarted or become unreachable.
	Confirmed bool `json:"confirmed,omitempty"`
}

// QuarantineBody is the body of a [KindQuarantine] record.
type QuarantineBody struct {
	Digest Digest `json:"digest"`
	// Losses are the confirmed losses of the request.
	Losses []Loss `json:"losses"`
	// SinceMS is when the quarantine began, in Unix ms. It is 0 for a quarantine that lasts until it is released.
	SinceMS int64 `json:"since_ms,omitempty"`
	// Tried is how often a part in quarantine was tried again.
	Tried int `json:"tried,omitempty"`
}

// AnswerBody is the body of a [KindAnswer] record: the request was answered completely by an upstream that outlived it.
type AnswerBody struct {
	Digest Digest `json:"digest"`
	// Losses are those that the answer disproves.
	Losses []Loss `json:"losses"`
}

// AppendCmd asks to append a record to [ledger.StreamVerdict].
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// lossRecord returns a loss record; its id is the same on every entry that observed the loss.
func lossRecord(entry ident.EntryID, d Digest, loss Loss, alone, confirmed bool) ledger.Record {
	id := fmt.Sprintf("loss/%s/%s", d, lossID(loss))
	if confirmed {
		id += "/confirmed"
	}
	return newRecord(id, KindLoss, entry, LossBody{d, loss, alone, confirmed})
}

func lossID(loss Loss) string {
	return fmt.Sprintf("%s/%s/%d", loss.Upstream, loss.Boot, loss.EarlierLosses)
}

func (m *Model) quarantineRecord(d Digest, losses []Loss, since time.Time) ledger.Record {
	body := QuarantineBody{Digest: d, Losses: losses}
	if q := m.quarantineOf(d); q != nil {
		body.Tried = q.tried
	}
	if m.retention > 0 {
		body.SinceMS = since.UnixMilli()
	}
	return newRecord("quarantine/"+string(d), KindQuarantine, m.entry, body)
}

func answerRecord(entry ident.EntryID, d Digest, losses []Loss) ledger.Record {
	id := "answer/" + string(d)
	for _, loss := range losses {
		id += "/" + lossID(loss)
	}
	return newRecord(id, KindAnswer, entry, AnswerBody{d, losses})
}

func newRecord(id string, kind ledger.Kind, entry ident.EntryID, body any) ledger.Record {
	rec, err := ledger.NewRecord(id, kind, string(entry), body)
	if err != nil {
		panic(err) // The bodies hold only strings.
	}
	return rec
}

// publish adds a record to the outbox and appends it, or shares it in messages.
func (m *Model) publish(now time.Time, rec ledger.Record) []ident.Cmd {
	if m.sharing != nil {
		m.sharing.add(rec, m.sendsOf(rec))
		// Other records take effect before they are published.
		if rec.Kind == KindTrial || rec.Kind == KindTrialEnd {
			if err := m.foldTrial(now, rec); err != nil {
				panic(err) // The record was encoded by this entry.
			}
		}
		return nil
	}
	m.outbox = append(m.outbox, rec)
	if len(m.outbox) > maxOutbox {
		m.outbox = m.outbox[1:]
	}
	return []ident.Cmd{AppendCmd{rec}}
}

// sendsOf returns how often a record is to be sent in messages.
func (m *Model) sendsOf(rec ledger.Record) int {
	if m.isMinor(rec) {
		return maxFirstLossSends
	}
	return maxSends
}

// isMinor reports whether a record is about a single loss, which restricts nothing.
func (m *Model) isMinor(rec ledger.Record) bool {
	switch rec.Kind {
	case KindLoss:
		var body LossBody
		return json.Unmarshal(rec.Body, &body) == nil && len(m.claimsOf(body.Digest)) < suspectAfter && !m.Quarantined(body.Digest)
	case KindAnswer:
		var body AnswerBody
		return json.Unmarshal(rec.Body, &body) == nil && len(body.Losses) < suspectAfter
	}
	return false
}

// withdraw stops the resends of a record.
func (m *Model) withdraw(id string) {
	m.outbox = slices.DeleteFunc(m.outbox, func(r ledger.Record) bool { return r.ID == id })
	if m.sharing != nil {
		m.sharing.fresh = slices.DeleteFunc(m.sharing.fresh, func(r freshRecord) bool { return r.record.ID == id })
	}
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
		// A record that can't be decoded has no effect on any entry.
		_ = m.foldRecord(now, e.Record)
	}
}

func (m *Model) foldRecord(now time.Time, rec ledger.Record) (err error) {
	defer func() { err = errors.Wrapf(err, "record of kind %q", rec.Kind) }()
	switch rec.Kind {
	case KindTrial, KindTrialEnd:
		return m.foldTrial(now, rec)
	case KindRelease:
		var body ReleaseBody
		if err := json.Unmarshal(rec.Body, &body); err != nil {
			return err
		}
		m.applyRelease(body)
	case KindLoss:
		var body LossBody
		if err := json.Unmarshal(rec.Body, &body); err != nil {
			return err
		}
		m.foldLoss(now, body)
	case KindAnswer:
		var body AnswerBody
		if err := json.Unmarshal(rec.Body, &body); err != nil {
			return err
		}
		m.disprove(body.Digest, body.Losses)
	case KindQuarantine:
		var body QuarantineBody
		if err := json.Unmarshal(rec.Body, &body); err != nil {
			return err
		}
		m.foldQuarantine(now, body)
	}
	return nil
}

func (m *Model) foldTrial(now time.Time, rec ledger.Record) (err error) {
	var body TrialBody
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return err
	}
	if rec.Kind == KindTrialEnd {
		m.endTrial(now, body)
		return nil
	}
	m.openTrial(now, body)
	return nil
}

// foldLoss adds a loss. It is enough for the quarantine if the others are known, should the record of that be lost.
func (m *Model) foldLoss(now time.Time, body LossBody) {
	m.addClaim(body.Digest, claim{loss: body.Loss, alone: body.Alone, confirmed: body.Confirmed, since: now})
	if losses, proven := m.confirmedLosses(body.Digest); proven && !m.isOutweighed(body.Digest) {
		m.quarantine(body.Digest, losses, now, 0)
	}
}

// foldQuarantine applies a quarantine unless it has lasted for the retention.
func (m *Model) foldQuarantine(now time.Time, body QuarantineBody) {
	since := now
	if body.SinceMS > 0 {
		since = time.UnixMilli(body.SinceMS)
	}
	if m.retention == 0 || now.Sub(since) < m.retention {
		m.quarantine(body.Digest, body.Losses, since, body.Tried)
	}
	if q := m.quarantineOf(body.Digest); q != nil && body.Tried > q.tried {
		q.tried, q.triedAt = body.Tried, now
	}
}
