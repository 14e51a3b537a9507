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
	// reason is why it was given up.
	reason Reason
	// asked is when the start was handed to the log at the earliest.
	asked time.Time
}

// cause is an event of an attempt with what its actions need.
type cause struct {
	event      chart.Event
	result     *Result
	reason     Reason
	retryAfter time.Duration
}

// step moves an attempt by the chart; an ended one is forgotten.
func (m *Model) step(now time.Time, a *attempt, c cause) (cmds []ident.Cmd) {
	t, taken := attemptChart.Next(a.state, c.event, func(g chart.Guard) bool {
		return g == "timely" && now.Sub(a.asked) <= m.sendLimit && m.members.mayStart(now)
	})
	if !taken {
		return nil
	}
	a.state = t.To
	if a.state == stateEnded {
		delete(m.attempts, a.body.Attempt)
	}
	for _, action := range t.Actions {
		cmds = append(cmds, m.act(action, now, a, c)...)
	}
	return cmds
}

func (m *Model) act(action chart.Action, now time.Time, a *attempt, c cause) []ident.Cmd {
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
		body.Result = c.result.kept()
		return m.appendEnd(now, KindDone, body)
	case "ask":
		a.reason = c.reason
		return m.ask(now, a)
	case "answer_doubt":
		answer = m.answerHeld(a, AnswerDoubt, c)
	case "answer_not_run":
		answer = m.answerHeld(a, AnswerNotRun, c)
	case "answer_unknown":
		answer.Answer = AnswerUnknown
	case "answer_result":
		answer.Answer, answer.Result = AnswerResult, c.result
	case "answer_key":
		answer = m.answerKey(a)
	}
	return []ident.Cmd{answer}
}

// answerHeld gives an answer unless the fold holds another attempt with the key or may have forgotten one.
func (m *Model) answerHeld(a *attempt, answer Answer, c cause) AnswerCmd {
	if k, held := m.keys.held[a.body.Key]; held && k.attempt != a.body.Attempt {
		return k.answer(a.request, a.body.Digest)
	}
	if m.keys.expired(a.body.Key) {
		return AnswerCmd{Request: a.request, Answer: AnswerExpired}
	}
	return AnswerCmd{Request: a.request, Answer: answer, Reason: c.reason, RetryAfter: c.retryAfter}
}

// answerKey answers an attempt whose start took no key, or whose key was ended before it was sent.
func (m *Model) answerKey(a *attempt) AnswerCmd {
	if k, held := m.keys.held[a.body.Key]; held {
		return k.answer(a.request, a.body.Digest)
	}
	return m.answerHeld(a, AnswerDoubt, cause{reason: ReasonLate, retryAfter: logRetryAfter})
}

// kept is the part of a result that the log keeps.
func (r *Result) kept() *Result {
	if len(r.Body) <= mostKeptBytes {
		return r
	}
	return &Result{Status: r.Status, ContentType: r.ContentType, Omitted: true}
}

// end is a record that this entry must bring into the log.
type end struct {
	record ledger.Record
	tried  time.Time
}

// appendEnd appends the record of an attempt's end, and again until the fold has it.
func (m *Model) appendEnd(now time.Time, kind ledger.Kind, body Body) []ident.Cmd {
	rec := m.record(kind, body)
	if m.ending(body.Attempt) {
		return nil
	}
	m.ends[rec.ID] = &end{rec, now}
	m.endOrder = append(m.endOrder, rec.ID)
	return []ident.Cmd{AppendCmd{rec}}
}

// ending reports whether an end of the attempt is on its way into the log.
func (m *Model) ending(attempt string) bool {
	for _, kind := range []ledger.Kind{KindNotRun, KindDone, KindUnknown} {
		if _, pending := m.ends[recordID(kind, attempt)]; pending {
			return true
		}
	}
	return false
}

// recordID keeps the start record's id equal to the attempt.
func recordID(kind ledger.Kind, attempt string) string {
	if kind == KindStart {
		return attempt
	}
	return attempt + "/" + string(kind)
}

// record makes the record of an attempt; its id lets repeated appends fold once.
func (m *Model) record(kind ledger.Kind, body Body) ledger.Record {
	return ledger.Record{ID: recordID(kind, body.Attempt), Kind: kind, Writer: string(m.entry), Body: encode(body)}
}

// encode takes bodies of strings, numbers and bytes alone.
func encode(body any) json.RawMessage {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

// resend appends the ends again that the fold has not shown in time.
func (m *Model) resend(now time.Time) (cmds []ident.Cmd) {
	order := m.endOrder[:0]
	for _, id := range m.endOrder {
		e, pending := m.ends[id]
		if !pending {
			continue
		}
		order = append(order, id)
		if now.Sub(e.tried) >= resendAfter {
			e.tried = now
			cmds = append(cmds, AppendCmd{e.record})
		}
	}
	m.endOrder = order
	return cmds
}
