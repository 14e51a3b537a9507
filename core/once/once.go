package once

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// Model decides about the once-only calls of one entry.
//
//	m := once.NewModel("entry-1", boot)
//	cmds := m.Update(now, once.CallMsg{Request: id, Key: key, Digest: digest, Attempt: attempt})
type Model struct {
	entry         ident.EntryID
	incarnation   ident.BootID
	sendLimit     time.Duration
	abandonAge    time.Duration
	window        int64
	snapshotEvery int64

	keys *keys
	// caughtUp is true once the fold has reached the end of the stream without a gap.
	caughtUp bool
	// gap holds what was read since records were found missing; nil where none are.
	gap *gap
	// snapshotted is the offset that the newest snapshot in the log or on its way covers.
	snapshotted int64
	// batchAt is when the last batch came.
	batchAt time.Time
	// downAt is when the log was last found down; zero where it takes appends.
	downAt time.Time

	// attempts holds the attempts that have not ended; one that sends is never allowed to send again.
	attempts map[string]*attempt
	// asked lists attempts in the order of arrival; ended ones are dropped at ticks.
	asked []*attempt
	// asks holds the attempts that wait for the other members.
	asks    asks
	members members
	// ends holds the ends not folded yet by record id, endOrder in the order of their appends.
	ends     map[string]*end
	endOrder []string
	// open lists the keys that the fold holds as started, in the order of offsets; others are dropped at ticks.
	open []*keyState
}

// NewModel is a model for one incarnation of an entry.
func NewModel(entry ident.EntryID, incarnation ident.BootID, options ...Option) *Model {
	m := &Model{
		entry: entry, incarnation: incarnation, attempts: map[string]*attempt{}, ends: map[string]*end{},
		snapshotted: -1,
	}
	m.setDefaults()
	for _, o := range options {
		o(m)
	}
	m.keys = newKeys(m.window)
	return m
}

// Next is the offset of the record to read next.
func (m *Model) Next() int64 {
	if m.gap != nil {
		return m.gap.next
	}
	return m.keys.next
}

// Known reports whether the entry knows which keys are taken.
func (m *Model) Known() bool { return m.caughtUp && m.gap == nil }

// Update takes a message and returns the commands that follow from it.
func (m *Model) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case CallMsg:
		return m.call(now, msg)
	case NotRunMsg:
		return m.event(now, msg.Attempt, cause{event: "not_run", reason: msg.Reason, retryAfter: msg.RetryAfter})
	case DoneMsg:
		return m.done(now, msg)
	case AppendFailedMsg:
		return m.appendFailed(now, msg)
	case PositionsMsg:
		return m.positions(now, msg)
	case LogMsg:
		return m.logState(now, msg)
	case MembersMsg:
		return m.roster(now, msg)
	case LeaseMsg:
		m.members.until, m.members.leaving = msg.Until, msg.Leaving
	case TickMsg:
		return m.tick(now)
	case ledger.BatchMsg:
		return m.fold(now, msg)
	}
	return nil
}

func (m *Model) call(now time.Time, msg CallMsg) []ident.Cmd {
	if k, held := m.keys.held[msg.Key]; held && m.gap == nil {
		return append(m.abandon(now, k, 0), k.answer(msg.Request, msg.Digest))
	}
	if m.keys.expired(msg.Key) {
		return []ident.Cmd{AnswerCmd{Request: msg.Request, Answer: AnswerExpired}}
	}
	body := Body{Key: msg.Key, Digest: msg.Digest, Attempt: msg.Attempt, Entry: m.entry, Incarnation: m.incarnation}
	a := &attempt{body: body, request: msg.Request, state: attemptChart.Initial(), asked: now}
	m.attempts[msg.Attempt] = a
	m.asked = append(m.asked, a)
	if reason := m.refusal(now, msg); reason != "" {
		return m.step(now, a, cause{event: "refuse", reason: reason})
	}
	return []ident.Cmd{AppendCmd{m.record(KindStart, body)}}
}

// refusal is why a call can't be started now, or empty; nothing has been appended for it.
func (m *Model) refusal(now time.Time, msg CallMsg) Reason {
	switch {
	case msg.Barred != "":
		return msg.Barred
	case !m.Known() || !m.members.mayStart(now):
		return ReasonNotKnown
	case !m.downAt.IsZero() && now.Sub(m.downAt) < logRetryAfter:
		return ReasonLog
	case now.Sub(m.batchAt) > staleAfter:
		return ReasonLog
	case len(m.attempts) >= mostWaiting || len(m.ends) >= mostEnds:
		return ReasonBusy
	}
	return ""
}

func (m *Model) event(now time.Time, id string, c cause) []ident.Cmd {
	a, live := m.attempts[id]
	if !live {
		return nil
	}
	return m.step(now, a, c)
}

func (m *Model) done(now time.Time, msg DoneMsg) []ident.Cmd {
	if msg.Result == nil {
		return m.event(now, msg.Attempt, cause{event: "unknown"})
	}
	return m.event(now, msg.Attempt, cause{event: "done", result: msg.Result})
}

// appendFailed gives up an attempt whose start failed. The start may take effect
// all the same, and the not_run record makes it void.
func (m *Model) appendFailed(now time.Time, msg AppendFailedMsg) []ident.Cmd {
	if msg.Kind != KindStart {
		return nil
	}
	return m.event(now, msg.Attempt, cause{event: "give_up", reason: ReasonLog, retryAfter: logRetryAfter})
}

// logState gives up every attempt that still waits once the log is found down.
func (m *Model) logState(now time.Time, msg LogMsg) []ident.Cmd {
	if msg.Up {
		m.downAt = time.Time{}
		return nil
	}
	m.downAt = now
	return m.giveUp(now, 0, ReasonLog)
}

// giveUp ends the attempts that have waited for at least an age.
func (m *Model) giveUp(now time.Time, age time.Duration, reason Reason) (cmds []ident.Cmd) {
	for _, a := range m.asked {
		if now.Sub(a.asked) >= age {
			cmds = append(cmds, m.step(now, a, cause{event: "give_up", reason: reason, retryAfter: logRetryAfter})...)
		}
	}
	return cmds
}

func (m *Model) tick(now time.Time) (cmds []ident.Cmd) {
	cmds = m.giveUp(now, m.sendLimit, ReasonLate)
	m.asked = compact(m.asked, func(a *attempt) bool { return a.state != stateEnded })
	cmds = append(cmds, m.expireRound(now)...)
	cmds = append(cmds, m.beginRound(now)...)
	cmds = append(cmds, m.resend(now)...)
	return append(cmds, m.abandonAll(now)...)
}

// compact keeps the elements that a condition keeps, in order.
func compact[T any](list []T, keep func(T) bool) (kept []T) {
	for _, v := range list {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// NextTick is when the model next has something to do without another message, and whether it has:
// at once as long as a call, an end or a key is open, or the members are yet to know of this one.
func (m *Model) NextTick() (at time.Time, set bool) {
	return at, m.members.unannounced() || len(m.asked)+len(m.ends)+len(m.endOrder)+len(m.open) > 0 || !m.asks.begun.IsZero()
}
