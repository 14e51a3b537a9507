package ledger

import (
	"time"

	"cicadavalve/core/ident"
)

// proposalTimeout is the longest time that an entry waits for a proposal to be folded.
const proposalTimeout = 10 * time.Second

// ProposeMsg requests to put a configuration in force. ID identifies the proposal and stays the same
// if the operator repeats it; Request identifies this request.
type ProposeMsg struct {
	Request ident.RequestID `json:"request"`
	ID      string          `json:"id"`
	Body    ConfigBody      `json:"body"`
}

// AppendFailedMsg reports that the log did not confirm a record in time; it may have been appended nevertheless.
type AppendFailedMsg struct {
	ID string `json:"id"`
}

// VerdictCmd answers a [ProposeMsg].
type VerdictCmd struct {
	Request ident.RequestID `json:"request"`
	Outcome Outcome         `json:"outcome"`
}

// pendingProposal is a request whose proposal is not folded yet.
type pendingProposal struct {
	msg ProposeMsg
	// appended is false until the record is appended. The fold must have reached the proposal's base
	// first, so that a record never precedes the version that it is based on.
	appended bool
	deadline time.Time
}

// addProposal queues a request; processPending answers it.
func (c *Config) addProposal(now time.Time, msg ProposeMsg) {
	c.pending = append(c.pending, &pendingProposal{msg: msg, deadline: now.Add(proposalTimeout)})
}

// processPending appends the proposals that may be appended now and answers those that are folded or
// whose deadline has passed.
func (c *Config) processPending(now time.Time) (cmds []ident.Cmd) {
	var remaining []*pendingProposal
	for _, p := range c.pending {
		if o, done := c.verdict(now, p); done {
			cmds = append(cmds, VerdictCmd{p.msg.Request, o})
			continue
		}
		remaining = append(remaining, p)
		if !p.appended && c.current && c.version >= p.msg.Body.Base {
			p.appended = true
			cmds = append(cmds, c.proposal(p.msg))
		}
	}
	c.pending = remaining
	return cmds
}

// verdict returns the answer to a request. done is false while it has to wait.
func (c *Config) verdict(now time.Time, p *pendingProposal) (o Outcome, done bool) {
	o = Outcome{NotKnownYet, c.version, c.operator}
	kept, folded := c.outcomes[p.msg.ID]
	switch {
	case folded && !c.SameText(p.msg.ID, p.msg.Body.Text):
		o.Verdict = IDReused
	case folded:
		return kept.Outcome, true
	default:
		return o, !now.Before(p.deadline)
	}
	return o, true
}

func (c *Config) proposal(msg ProposeMsg) AppendCmd {
	rec, err := NewRecord(msg.ID, KindConfig, string(c.entry), msg.Body)
	if err != nil {
		panic(err) // ConfigBody holds only strings and numbers.
	}
	return AppendCmd{StreamConfig, rec}
}

// appendFailed lets the proposal be answered at once: the outcome is not known, and the operator finds it
// out by repeating the request with the same id.
func (c *Config) appendFailed(id string) {
	for _, p := range c.pending {
		if p.msg.ID == id {
			p.deadline = time.Time{}
		}
	}
}

// NextTick returns when the fold needs its next tick if no message comes before; set is false if it needs none.
func (c *Config) NextTick() (at time.Time, set bool) {
	for _, p := range c.pending {
		if !set || p.deadline.Before(at) {
			at, set = p.deadline, true
		}
	}
	if c.canSnapshot() && c.next > 0 {
		if due := c.snapshots.Next(); !set || due.Before(at) {
			at, set = due, true
		}
	}
	return at, set
}
