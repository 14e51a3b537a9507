package once

import (
	_ "embed"
	"encoding/json"
	"time"

	"cicadavalve/core/chart"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

//go:embed attempt.yaml
var attemptYAML []byte

var attemptChart = chart.Must(attemptYAML)

const stateEnded chart.State = "ended"

// attempt is one try of this incarnation of the entry to run a call.
type attempt struct {
	body    Body
	request ident.RequestID
	state   chart.State
	// reason is why the attempt was given up.
	reason Reason
	// arrivedAt is when the call arrived, no later than the append of its start.
	arrivedAt time.Time
}

// attemptEvent is a chart event with the arguments of its actions.
type attemptEvent struct {
	event      chart.Event
	result     *Result
	reason     Reason
	retryAfter time.Duration
}

// step takes an attempt through a transition of the chart and deletes it once it has ended.
func (m *Model) step(now time.Time, a *attempt, ev attemptEvent) (cmds []ident.Cmd) {
	t, ok := attemptChart.Next(a.state, ev.event, func(g chart.Guard) bool {
		return g == "timely" && now.Sub(a.arrivedAt) <= m.sendLimit && m.members.mayStart(now)
	})
	if !ok {
		return nil
	}
	a.state = t.To
	if a.state == stateEnded {
		delete(m.attempts, a.body.Attempt)
	}
	for _, action := range t.Actions {
		cmds = append(cmds, m.act(action, now, a, ev)...)
	}
	return cmds
}

func (m *Model) act(action chart.Action, now time.Time, a *attempt, ev attemptEvent) []ident.Cmd {
	answer := AnswerCmd{Request: a.request}
	switch action {
	case "send":
		return []ident.Cmd{SendCmd{a.request, a.body.Attempt, m.sendLimit}}
	case "append_not_run":
		return m.appendEnd(now, KindNotRun, a.body)
	case "append_unknown":
		return m.appendEnd(now, KindUnknown, a.body)
	case "append_done":
		body := a.body
		body.Result = ev.result.storable()
		return m.appendEnd(now, KindDone, body)
	case "ask":
		a.reason = ev.reason
		return m.awaitRound(now, a)
	case "answer_doubt":
		answer = m.answerHeld(a, AnswerUncertain, ev)
	case "answer_not_run":
		answer = m.answerHeld(a, AnswerNotRun, ev)
	case "answer_unknown":
		answer.Answer = AnswerUnknown
	case "answer_result":
		answer.Answer, answer.Result = AnswerResult, ev.result
	case "answer_key":
		answer = m.answerKey(a)
	}
	return []ident.Cmd{answer}
}

// answerHeld returns the given answer unless the fold holds another attempt with the key or may have evicted one.
func (m *Model) answerHeld(a *attempt, answer Answer, ev attemptEvent) AnswerCmd {
	if k, held := m.keys.held[a.body.Key]; held && k.attempt != a.body.Attempt {
		return k.answer(a.request, a.body.Digest)
	}
	if m.keys.expired(a.body.Key) {
		return AnswerCmd{Request: a.request, Answer: AnswerExpired}
	}
	return AnswerCmd{Request: a.request, Answer: answer, Reason: ev.reason, RetryAfter: ev.retryAfter}
}

// answerKey answers an attempt that did not win its key, or whose key was ended before it was sent.
func (m *Model) answerKey(a *attempt) AnswerCmd {
	if k, held := m.keys.held[a.body.Key]; held {
		return k.answer(a.request, a.body.Digest)
	}
	return m.answerHeld(a, AnswerUncertain, attemptEvent{reason: ReasonLogSlow, retryAfter: logRetryAfter})
}

// storable returns the result as it is stored in the log: without its body if that is too large.
func (r *Result) storable() *Result {
	if len(r.Body) <= maxKeptResultBytes {
		return r
	}
	return &Result{Status: r.Status, ContentType: r.ContentType, Omitted: true}
}

// pendingEnd is an end record that this entry appends until it has folded it.
type pendingEnd struct {
	record     ledger.Record
	appendedAt time.Time
}

// appendEnd appends an end record of an attempt unless one is pending; resendEnds repeats it until it is folded.
func (m *Model) appendEnd(now time.Time, kind ledger.Kind, body Body) []ident.Cmd {
	rec := m.newRecord(kind, body)
	if m.endPending(body.Attempt) {
		return nil
	}
	m.ends[rec.ID] = &pendingEnd{rec, now}
	m.endOrder = append(m.endOrder, rec.ID)
	return []ident.Cmd{AppendCmd{rec}}
}

// endPending reports whether an end record of the attempt was appended and is not folded yet.
func (m *Model) endPending(attempt string) bool {
	for _, kind := range []ledger.Kind{KindNotRun, KindDone, KindUnknown} {
		if _, pending := m.ends[recordID(kind, attempt)]; pending {
			return true
		}
	}
	return false
}

// recordID returns the id of an attempt's record; that of the start record is the attempt's own.
func recordID(kind ledger.Kind, attempt string) string {
	if kind == KindStart {
		return attempt
	}
	return attempt + "/" + string(kind)
}

// newRecord returns a record of an attempt. Its id depends on the attempt and the kind alone, so that
// a repeated append is recognised.
func (m *Model) newRecord(kind ledger.Kind, body Body) ledger.Record {
	return ledger.Record{ID: recordID(kind, body.Attempt), Kind: kind, Writer: string(m.entry), Body: encode(body)}
}

// encode marshals a record body. It panics on failure, which bodies of strings, numbers and bytes can't cause.
func encode(body any) json.RawMessage {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

// resendEnds repeats the append of each end record that was not folded within resendInterval.
func (m *Model) resendEnds(now time.Time) (cmds []ident.Cmd) {
	order := m.endOrder[:0]
	for _, id := range m.endOrder {
		e, pending := m.ends[id]
		if !pending {
			continue
		}
		order = append(order, id)
		if now.Sub(e.appendedAt) >= resendInterval {
			e.appendedAt = now
			cmds = append(cmds, AppendCmd{e.record})
		}
	}
	m.endOrder = order
	return cmds
}
