package sched

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// mostShareWait bounds how long the answer to a request that crashed upstreams waits for the
// other entries. It is what an interactive caller waits for a silent stream.
const mostShareWait = 2 * time.Second

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

// sharing is a final answer that waits until the other entries know what the request did. Its
// caller may send it again to any of them once it has the answer.
type sharing struct {
	refusal RefuseCmd
	digest  poison.Digest
	since   time.Time
	// asked is true once the log has shown the losses.
	asked bool
}

// answer gives a final answer, or keeps it where the request crashed an upstream.
func (m *Model) answer(now time.Time, r *request, refusal RefuseCmd) []ident.Cmd {
	if !r.crashed {
		return []ident.Cmd{refusal}
	}
	m.sharing = append(m.sharing, &sharing{refusal: refusal, digest: r.Digest, since: now})
	return nil
}

// confirmLosses asks the members once the log has shown the losses, and answers those that waited too long.
func (m *Model) confirmLosses(now time.Time) (cmds []ident.Cmd) {
	for _, s := range slices.Clone(m.sharing) {
		switch {
		case now.Sub(s.since) >= mostShareWait:
			cmds = append(cmds, m.confirmed(s.refusal.Request)...)
		case !s.asked && m.poison.Shown(s.digest):
			s.asked = true
			within := mostShareWait - now.Sub(s.since)
			cmds = append(cmds, ConfirmCmd{Request: s.refusal.Request, Next: m.poison.Next(), Within: within})
		}
	}
	return cmds
}

// confirmed gives the answer that waited.
func (m *Model) confirmed(id ident.RequestID) (cmds []ident.Cmd) {
	for _, s := range m.sharing {
		if s.refusal.Request == id {
			cmds = append(cmds, s.refusal)
		}
	}
	m.forgetSharing(id)
	return cmds
}

func (m *Model) forgetSharing(id ident.RequestID) {
	m.sharing = slices.DeleteFunc(m.sharing, func(s *sharing) bool { return s.refusal.Request == id })
}
