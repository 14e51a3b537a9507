package once

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// Model decides for one entry which once-only calls are sent, and how each is answered.
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
	// gap holds the records read since some were found missing; nil if none are.
	gap *gap
	// snapshotOffset is the last offset that the newest snapshot covers, whether folded or only appended; -1 if none.
	snapshotOffset int64
	// lastBatchAt is when the last batch of the stream arrived.
	lastBatchAt time.Time
	// logDownAt is when the log was last found down; zero while it accepts appends.
	logDownAt time.Time

	// attempts holds the attempts that have not ended. Each is permitted to send at most once.
	attempts map[string]*attempt
	// arrivals lists attempts in the order of arrival; ended ones are removed at ticks.
	arrivals []*attempt
	// rounds holds the attempts that wait for the positions of the other members.
	rounds  positionRounds
	members members
	// ends holds the end records not folded yet, by record id; endOrder lists these ids in the order of appends.
	ends     map[string]*pendingEnd
	endOrder []string
	// openKeys lists the keys that the fold holds as started, by offset; others are removed at ticks.
	openKeys []*keyState
}

// NewModel returns a model for one incarnation of an entry.
func NewModel(entry ident.EntryID, incarnation ident.BootID, options ...Option) *Model {
	m := &Model{
		entry: entry, incarnation: incarnation, attempts: map[string]*attempt{}, ends: map[string]*pendingEnd{},
		snapshotOffset: -1,
	}
	m.setDefaults()
	for _, o := range options {
		o(m)
	}
	m.keys = newKeys(m.window)
	return m
}

// Next returns the offset of the record to read next.
func (m *Model) Next() int64 {
	if m.gap != nil {
		return m.gap.next
	}
	return m.keys.next
}

// Ready reports whether the fold is complete, so that the entry knows which keys are taken.
func (m *Model) Ready() bool { return m.caughtUp && m.gap == nil }

// Update handles a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case CallMsg:
		return m.call(now, msg)
	case NotRunMsg:
		return m.stepAttempt(now, msg.Attempt, attemptEvent{event: "not_run", reason: msg.Reason, retryAfter: msg.RetryAfter})
	case DoneMsg:
		return m.handleDone(now, msg)
	case AppendFailedMsg:
		return m.appendFailed(now, msg)
	case PositionsMsg:
		return m.handlePositions(now, msg)
	case LogMsg:
		return m.setLogState(now, msg)
	case MembersMsg:
		return m.setMembers(now, msg)
	case LeaseMsg:
		m.members.leaseEnd, m.members.leavingSince = msg.Until, msg.Leaving
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
	a := &attempt{body: body, request: msg.Request, state: attemptChart.Initial(), arrivedAt: now}
	m.attempts[msg.Attempt] = a
	m.arrivals = append(m.arrivals, a)
	if reason := m.refusal(now, msg); reason != "" {
		return m.step(now, a, attemptEvent{event: "refuse", reason: reason})
	}
	return []ident.Cmd{AppendCmd{m.newRecord(KindStart, body)}}
}

// refusal returns why a call can't be started now, or empty if it can. Nothing was appended for the call yet.
func (m *Model) refusal(now time.Time, msg CallMsg) Reason {
	switch {
	case msg.RefuseReason != "":
		return msg.RefuseReason
	case !m.Ready() || !m.members.mayStart(now):
		return ReasonNotReady
	case !m.logDownAt.IsZero() && now.Sub(m.logDownAt) < logRetryAfter:
		return ReasonLogUnavailable
	case now.Sub(m.lastBatchAt) > staleBatchAge:
		return ReasonLogUnavailable
	case len(m.attempts) >= maxOpenAttempts || len(m.ends) >= maxPendingEnds:
		return ReasonOverloaded
	}
	return ""
}

func (m *Model) stepAttempt(now time.Time, id string, ev attemptEvent) []ident.Cmd {
	a, live := m.attempts[id]
	if !live {
		return nil
	}
	return m.step(now, a, ev)
}

func (m *Model) handleDone(now time.Time, msg DoneMsg) []ident.Cmd {
	if msg.Result == nil {
		return m.stepAttempt(now, msg.Attempt, attemptEvent{event: "unknown"})
	}
	return m.stepAttempt(now, msg.Attempt, attemptEvent{event: "done", result: msg.Result})
}

// appendFailed gives up an attempt whose start could not be appended. The start may still appear in
// the log; the not_run record makes it void.
func (m *Model) appendFailed(now time.Time, msg AppendFailedMsg) []ident.Cmd {
	if msg.Kind != KindStart {
		return nil
	}
	return m.stepAttempt(now, msg.Attempt, attemptEvent{event: "give_up", reason: ReasonLogUnavailable, retryAfter: logRetryAfter})
}

// setLogState records whether the log accepts appends, and gives up every waiting attempt if it does not.
func (m *Model) setLogState(now time.Time, msg LogMsg) []ident.Cmd {
	if msg.Up {
		m.logDownAt = time.Time{}
		return nil
	}
	m.logDownAt = now
	return m.giveUp(now, 0, ReasonLogUnavailable)
}

// giveUp gives up the attempts that have waited for at least an age.
func (m *Model) giveUp(now time.Time, age time.Duration, reason Reason) (cmds []ident.Cmd) {
	for _, a := range m.arrivals {
		if now.Sub(a.arrivedAt) >= age {
			cmds = append(cmds, m.step(now, a, attemptEvent{event: "give_up", reason: reason, retryAfter: logRetryAfter})...)
		}
	}
	return cmds
}

func (m *Model) tick(now time.Time) (cmds []ident.Cmd) {
	cmds = m.giveUp(now, m.sendLimit, ReasonLogSlow)
	m.arrivals = filter(m.arrivals, func(a *attempt) bool { return a.state != stateEnded })
	cmds = append(cmds, m.expireRound(now)...)
	cmds = append(cmds, m.beginRound(now)...)
	cmds = append(cmds, m.resendEnds(now)...)
	return append(cmds, m.abandonAll(now)...)
}

// filter returns the elements for which keep holds, in order.
func filter[T any](list []T, keep func(T) bool) (kept []T) {
	for _, v := range list {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// NextTick returns when the model next needs a [TickMsg], and whether it needs one: at once, the zero
// time, while a call, an end record, a key or a round is open, or the join is not announced.
func (m *Model) NextTick() (at time.Time, set bool) {
	return at, m.members.unannounced() ||
		len(m.arrivals)+len(m.ends)+len(m.endOrder)+len(m.openKeys) > 0 || !m.rounds.startedAt.IsZero()
}
