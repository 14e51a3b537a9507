package once

import (
	"encoding/json"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// state of a key in the fold.
type state string

const (
	started state = "started"
	done    state = "done"
	unknown state = "unknown"
)

// keyState is what the log says about one key.
type keyState struct {
	state state
	// attempt is the start record that won the key; it never changes while the key is held.
	attempt string
	digest  string
	result  *Result
}

// call is a caller that waits on this entry.
type call struct {
	msg CallMsg
	// sent is true once the entry was allowed to send; it is never allowed twice.
	sent bool
}

// Model decides about the once-only calls of one entry.
type Model struct {
	entry       ident.EntryID
	incarnation ident.BootID
	next        int64
	keys        map[Key]*keyState
	// calls holds the waiting callers by attempt.
	calls map[string]*call
}

// NewModel is a model for one incarnation of an entry.
func NewModel(entry ident.EntryID, incarnation ident.BootID) *Model {
	return &Model{entry: entry, incarnation: incarnation, keys: map[Key]*keyState{}, calls: map[string]*call{}}
}

// Next is the offset of the first record not folded yet.
func (m *Model) Next() int64 { return m.next }

// Update takes a message and returns the commands that follow from it.
func (m *Model) Update(_ time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case CallMsg:
		return m.start(msg)
	case NotRunMsg:
		return m.end(msg.Attempt, KindNotRun, nil)
	case DoneMsg:
		return m.end(msg.Attempt, KindDone, msg.Result)
	case AppendFailedMsg:
		return m.appendFailed(msg)
	case ledger.BatchMsg:
		return m.fold(msg)
	}
	return nil
}

func (m *Model) start(msg CallMsg) []ident.Cmd {
	if k, held := m.keys[msg.Key]; held {
		return []ident.Cmd{k.answer(msg)}
	}
	m.calls[msg.Attempt] = &call{msg: msg}
	return []ident.Cmd{m.appendCmd(msg.Attempt, KindStart, msg, nil)}
}

func (k *keyState) answer(msg CallMsg) AnswerCmd {
	cmd := AnswerCmd{Request: msg.Request, Result: k.result}
	switch {
	case k.digest != msg.Digest:
		return AnswerCmd{Request: msg.Request, Answer: AnswerMismatch}
	case k.state == started:
		cmd.Answer = AnswerInProgress
	case k.state == unknown:
		cmd.Answer = AnswerUnknown
	default:
		cmd.Answer = AnswerResult
	}
	return cmd
}

// appendCmd keeps the start record's id equal to the attempt, so that repeated appends fold once.
func (m *Model) appendCmd(attempt string, kind ledger.Kind, msg CallMsg, result *Result) AppendCmd {
	id := attempt
	if kind != KindStart {
		id = attempt + "/" + string(kind)
	}
	body := Body{msg.Key, msg.Digest, attempt, m.entry, m.incarnation, result}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // Body holds only strings and bytes.
	}
	return AppendCmd{ledger.Record{ID: id, Kind: kind, Writer: string(m.entry), Body: raw}}
}

func (m *Model) end(attempt string, kind ledger.Kind, result *Result) (cmds []ident.Cmd) {
	c, ok := m.calls[attempt]
	if !ok {
		return nil
	}
	delete(m.calls, attempt)
	answer := AnswerCmd{Request: c.msg.Request, Answer: AnswerResult, Result: result}
	switch {
	case kind == KindNotRun:
		answer.Answer = AnswerNotRun
	case result == nil:
		answer.Answer = AnswerUnknown
	}
	return []ident.Cmd{m.appendCmd(attempt, kind, c.msg, result), answer}
}

// appendFailed answers the caller; the start may still have taken effect, and the
// fold then frees its key with a not_run record.
func (m *Model) appendFailed(msg AppendFailedMsg) []ident.Cmd {
	c, ok := m.calls[msg.Attempt]
	if !ok || msg.Kind != KindStart || c.sent {
		return nil
	}
	return m.end(msg.Attempt, KindNotRun, nil)
}

func (m *Model) fold(batch ledger.BatchMsg) (cmds []ident.Cmd) {
	if batch.Stream != StreamOnce {
		return nil
	}
	for _, e := range batch.Entries {
		if e.Offset < m.next {
			continue
		}
		m.next = e.Offset + 1
		var body Body
		if err := json.Unmarshal(e.Record.Body, &body); err != nil {
			continue
		}
		cmds = append(cmds, m.foldRecord(e.Record.Kind, body)...)
	}
	return cmds
}

func (m *Model) foldRecord(kind ledger.Kind, body Body) []ident.Cmd {
	k, held := m.keys[body.Key]
	switch {
	case kind == KindStart && !held:
		m.keys[body.Key] = &keyState{state: started, attempt: body.Attempt, digest: body.Digest}
		return m.won(body)
	case kind == KindStart:
		return m.lost(k, body)
	case !held || k.attempt != body.Attempt:
		return nil
	case kind == KindNotRun:
		delete(m.keys, body.Key)
	case body.Result != nil:
		k.state, k.result = done, body.Result
	default:
		k.state = unknown
	}
	return nil
}

func (m *Model) won(body Body) []ident.Cmd {
	c, mine := m.calls[body.Attempt]
	if !mine || c.sent {
		return nil
	}
	c.sent = true
	return []ident.Cmd{SendCmd{c.msg.Request, body.Attempt}}
}

func (m *Model) lost(k *keyState, body Body) []ident.Cmd {
	c, mine := m.calls[body.Attempt]
	if !mine || k.attempt == body.Attempt {
		return nil
	}
	delete(m.calls, body.Attempt)
	return []ident.Cmd{k.answer(c.msg)}
}
