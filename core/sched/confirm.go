package sched

import (
	"time"

	"cicadavalve/core/ident"
)

// ConfirmCmd asks to poll the other members until each has applied [ledger.StreamVerdict] up to an offset.
type ConfirmCmd struct {
	Request ident.RequestID `json:"request"`
	// Next is the offset after the last record that the members must have applied.
	Next int64 `json:"next"`
	// Within is how long to keep polling.
	Within time.Duration `json:"within"`
}

// ConfirmedMsg reports that all members have applied the records that a [ConfirmCmd] named.
type ConfirmedMsg struct {
	Request ident.RequestID `json:"request"`
}

// confirm asks once per trial for the other members to confirm the losses recorded before it. They must know of
// them before the trial: a request refused after it is answered at once, and its caller may retry on any member.
func (m *Model) confirm(now time.Time, r *request) []ident.Cmd {
	if r.confirmRequested {
		return nil
	}
	r.confirmRequested = true
	within := trialTimeout - now.Sub(r.trialSince)
	return []ident.Cmd{ConfirmCmd{Request: r.ID, Next: m.poison.Next(), Within: within}}
}

func (m *Model) handleConfirmed(msg ConfirmedMsg) {
	if r, open := m.requests[msg.Request]; open {
		r.confirmed = r.confirmRequested
	}
}
