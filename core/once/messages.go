// Package once runs each non-idempotent call at most once across all entries.
//
// An entry appends a start record to the log; the first one of a key in offset
// order wins, and only then does the winning entry send the call, once.
package once

import (
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records in the once streams.
const (
	KindStart  ledger.Kind = "start"
	KindNotRun ledger.Kind = "not_run"
	KindDone   ledger.Kind = "done"
)

// StreamOnce is the stream that holds the records of once-only calls.
const StreamOnce ledger.Stream = "once/0"

// Key names a call within its organisation.
type Key struct {
	Org ident.OrgID `json:"org"`
	Key string      `json:"key"`
}

// Result is the kept answer of a call that has run.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Body is the body of every record in the once streams.
type Body struct {
	Key Key `json:"key"`
	// Digest is the hash of the call's service, path and body.
	Digest string `json:"digest"`
	// Attempt is the id of the start record that the record belongs to.
	Attempt     string        `json:"attempt"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Result      *Result       `json:"result,omitempty"`
}

// CallMsg asks to run a call. Attempt is a new random id.
type CallMsg struct {
	Request ident.RequestID `json:"request"`
	Key     Key             `json:"key"`
	Digest  string          `json:"digest"`
	Attempt string          `json:"attempt"`
}

// NotRunMsg says that no byte of an attempt was written to any upstream.
type NotRunMsg struct {
	Attempt string `json:"attempt"`
}

// DoneMsg says that an attempt was sent and how it ended; a nil Result means that this is not known.
type DoneMsg struct {
	Attempt string  `json:"attempt"`
	Result  *Result `json:"result"`
}

// AppendFailedMsg says that the log did not take an attempt's record in time.
type AppendFailedMsg struct {
	Attempt string      `json:"attempt"`
	Kind    ledger.Kind `json:"kind"`
}

// AppendCmd asks to append a record to [StreamOnce].
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// SendCmd allows the one sending of an attempt.
type SendCmd struct {
	Request ident.RequestID `json:"request"`
	Attempt string          `json:"attempt"`
}

// Answer is how a call ends for its caller.
type Answer string

// The answers to a call.
const (
	// AnswerResult carries the kept result.
	AnswerResult Answer = "result"
	// AnswerInProgress means that another attempt with the key has started and not ended.
	AnswerInProgress Answer = "in_progress"
	// AnswerUnknown means that the call may have run; it will not be run again.
	AnswerUnknown Answer = "outcome_unknown"
	// AnswerNotRun means that the call has not run and the key is free.
	AnswerNotRun Answer = "not_run"
	// AnswerMismatch means that the key was used before with another body.
	AnswerMismatch Answer = "key_reused"
)

// AnswerCmd gives a caller its final answer.
type AnswerCmd struct {
	Request ident.RequestID `json:"request"`
	Answer  Answer          `json:"answer"`
	Result  *Result         `json:"result,omitempty"`
}
