package sched

import (
	"time"

	"cicadavalve/core/ident"
)

// ConfirmCmd asks until each other member has folded [ledger.StreamVerdict] up to an offset.
type ConfirmCmd struct {
	Request ident.RequestID `json:"request"`
	// Next is the offset of the first record that the members need not have folded.
	Next int64 `json:"next"`
	// Within is for how long to ask.
	Within time.Duration `json:"within"`
}

// ConfirmedMsg says that the members have folded what a [ConfirmCmd] asked for.
type ConfirmedMsg struct {
	Request ident.RequestID `json:"request"`
}

// confirm asks, once a trial, whether the other members know of the losses before it. A request that
// is given up after its trial is answered at once, and its caller may send it again to any of them.
func (m *Model) confirm(now time.Time, r *request) []ident.Cmd {
	if r.confirming {
		return nil
	}
	r.confirming = true
	within := mostTrialWait - now.Sub(r.trialSince)
	return []ident.Cmd{ConfirmCmd{Request: r.ID, Next: m.poison.Next(), Within: within}}
}

func (m *Model) confirmed(msg ConfirmedMsg) {
	if r, open := m.requests[msg.Request]; open {
		r.confirmed = r.confirming
	}
}
