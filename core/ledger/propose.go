package ledger

import (
	"time"

	"cicadavalve/core/ident"
)

// proposalDeadline bounds how long an entry waits for the fold of a proposal.
const proposalDeadline = 10 * time.Second

// ProposeMsg asks to put a configuration in force. ID is the same each time the operator asks
// for the same proposal; Request names this asking.
type ProposeMsg struct {
	Request ident.RequestID `json:"request"`
	ID      string          `json:"id"`
	Body    ConfigBody      `json:"body"`
}

// AppendFailedMsg says that the log did not take a record in time; it may have taken effect all the same.
type AppendFailedMsg struct {
	ID string `json:"id"`
}

// VerdictCmd answers a [ProposeMsg].
type VerdictCmd struct {
	Request ident.RequestID `json:"request"`
	Outcome Outcome         `json:"outcome"`
}

// waiter is an asking whose proposal is not folded yet.
type waiter struct {
	msg ProposeMsg
	// appended is false while the fold has not reached the proposal's base: a record never
	// precedes the version that it is based on.
	appended bool
	deadline time.Time
}

// propose takes an asking; settle answers it.
func (c *Config) propose(now time.Time, msg ProposeMsg) {
	c.waiters = append(c.waiters, &waiter{msg: msg, deadline: now.Add(proposalDeadline)})
}

// settle appends what may be appended now and answers what is folded or past its deadline.
func (c *Config) settle(now time.Time) (cmds []ident.Cmd) {
	var open []*waiter
	for _, w := range c.waiters {
		if o, done := c.verdict(now, w); done {
			cmds = append(cmds, VerdictCmd{w.msg.Request, o})
			continue
		}
		open = append(open, w)
		if !w.appended && c.current && c.version >= w.msg.Body.Base {
			w.appended = true
			cmds = append(cmds, c.proposal(w.msg))
		}
	}
	c.waiters = open
	return cmds
}

func (c *Config) verdict(now time.Time, w *waiter) (o Outcome, done bool) {
	o = Outcome{NotKnownYet, c.version, c.operator}
	kept, folded := c.outcomes[w.msg.ID]
	switch {
	case folded && !c.SameText(w.msg.ID, w.msg.Body.Text):
		o.Verdict = IDReused
	case folded:
		return kept.Outcome, true
	default:
		return o, !now.Before(w.deadline)
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

// appendFailed answers at once: the outcome is not known, and asking again with the id settles it.
func (c *Config) appendFailed(id string) {
	for _, w := range c.waiters {
		if w.msg.ID == id {
			w.deadline = time.Time{}
		}
	}
}

// NextTick is when the fold next has something to do without another message, and whether it has.
func (c *Config) NextTick() (at time.Time, set bool) {
	for _, w := range c.waiters {
		if !set || w.deadline.Before(at) {
			at, set = w.deadline, true
		}
	}
	if c.maySnapshot() && c.next > 0 {
		if due := c.snapshots.Next(); !set || due.Before(at) {
			at, set = due, true
		}
	}
	return at, set
}
