// Package once runs each non-idempotent call at most once across all entries.
//
// An entry appends a start record to the log; the first one of a key in offset
// order wins, and only then does the winning entry send the call, once. The
// state charts are key.yaml, for the fold, and attempt.yaml, for the entry.
package once

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// The kinds of records in the once stream.
const (
	KindStart ledger.Kind = "start"
	// KindNotRun marks an attempt that was not sent and never will be.
	KindNotRun ledger.Kind = "not_run"
	// KindDone carries the result of an attempt.
	KindDone ledger.Kind = "done"
	// KindUnknown marks an attempt that may have run. Any entry may write it for an abandoned attempt.
	KindUnknown ledger.Kind = "unknown"
	// KindSnapshot carries a part of a snapshot of the fold.
	KindSnapshot ledger.Kind = "snapshot"
)

// StreamOnce is the stream that holds the records of once-only calls.
const StreamOnce ledger.Stream = "once/0"

// Key is the idempotency key of a call, unique within its organisation.
type Key struct {
	Org ident.OrgID `json:"org"`
	Key string      `json:"key"`
}

// Result is the response to a call that has run.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
	// Omitted is true if the body was too large to store.
	Omitted bool `json:"omitted,omitempty"`
}

// Body is the body of the start, not_run, done and unknown records.
type Body struct {
	Key Key `json:"key"`
	// Digest is the hash of the call's service, path and body.
	Digest string `json:"digest"`
	// Attempt is the id of the start record that the record belongs to.
	Attempt string `json:"attempt"`
	// Entry and Incarnation identify the maker of the attempt; another entry may have written the record.
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Result      *Result       `json:"result,omitempty"`
}

// CallMsg requests that a call be run. Attempt is a new random id.
type CallMsg struct {
	Request ident.RequestID `json:"request"`
	Key     Key             `json:"key"`
	Digest  string          `json:"digest"`
	Attempt string          `json:"attempt"`
	// RefuseReason, if set, is the reason to refuse the call. As for any refused call, the other members
	// are asked first whether a call with the key was sent before.
	RefuseReason Reason `json:"barred,omitempty"`
}

// NotRunMsg reports that no byte of an attempt was or will be written to any upstream.
type NotRunMsg struct {
	Attempt string `json:"attempt"`
	Reason  Reason `json:"reason"`
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration `json:"retry_after"`
}

// DoneMsg reports that an attempt was sent, and its result; a nil Result means that the outcome is unknown.
type DoneMsg struct {
	Attempt string  `json:"attempt"`
	Result  *Result `json:"result"`
}

// AppendFailedMsg reports that the append of an attempt's record failed or timed out. The record may
// still appear in the log.
type AppendFailedMsg struct {
	Attempt string      `json:"attempt"`
	Kind    ledger.Kind `json:"kind"`
}

// LogMsg reports whether the log accepts appends.
type LogMsg struct {
	Up bool `json:"up"`
}

// AskCmd asks the other members which records they have folded.
type AskCmd struct {
	Round int64 `json:"round"`
}

// PositionsMsg answers an [AskCmd].
type PositionsMsg struct {
	Round int64 `json:"round"`
	// All is true if this entry is a member, and each other member answered with a complete fold and no
	// newer epoch of the roster.
	All bool `json:"all"`
	// Next is the highest of the other members' next offsets to fold.
	Next int64 `json:"next"`
	// Answered is true if each other member of the roster answered.
	Answered bool `json:"answered"`
	// Epoch is the lowest epoch of the roster that any of them has folded.
	Epoch int64 `json:"epoch"`
}

// MembersMsg reports the members of the roster.
type MembersMsg struct {
	Epoch int64 `json:"epoch"`
	// Self is this entry's incarnation in the roster; empty while it is not a member.
	Self   ident.BootID   `json:"self"`
	Others []ident.BootID `json:"others"`
	// HistoryUnknown is true if departures may have been missed.
	HistoryUnknown bool `json:"cut"`
}

// LeaseMsg sets until when this entry may act as a member.
type LeaseMsg struct {
	Until time.Time `json:"until"`
	// Leaving is when a planned stop began under a lease; zero if there is none.
	Leaving time.Time `json:"leaving"`
}

// TickMsg is sent at a steady interval and triggers the checks for time-outs.
type TickMsg struct{}

// AppendCmd requests the append of a record to [StreamOnce].
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// SendCmd permits an attempt to be sent; there is at most one for each attempt.
type SendCmd struct {
	Request ident.RequestID `json:"request"`
	Attempt string          `json:"attempt"`
	// Within is how long after the call's arrival sending may still begin.
	Within time.Duration `json:"within"`
}

// Answer is the outcome of a call that its caller receives.
type Answer string

// The answers to a call.
const (
	// AnswerResult carries the call's result.
	AnswerResult Answer = "result"
	// AnswerNotKept means that the call has run, but its result was too large to store.
	AnswerNotKept Answer = "result_not_kept"
	// AnswerInProgress means that another attempt with the key has started and has not ended.
	AnswerInProgress Answer = "in_progress"
	// AnswerUnknown means that the call may have run; it will not be run again.
	AnswerUnknown Answer = "outcome_unknown"
	// AnswerNotRun means that this attempt was not sent and never will be, and that no earlier one was.
	AnswerNotRun Answer = "not_run"
	// AnswerUncertain means that this attempt was not sent and never will be, but an earlier one may have been.
	AnswerUncertain Answer = "not_known"
	// AnswerMismatch means that the key is held by a call with another digest.
	AnswerMismatch Answer = "key_reused"
	// AnswerExpired means that the key is older than the window; it is not run.
	AnswerExpired Answer = "key_expired"
)

// Reason is why a call was not sent.
type Reason string

// The reasons that this package and its callers share. CallMsg and NotRunMsg may carry others.
const (
	// ReasonLogUnavailable means that the log does not accept records, or that this entry reads no batches from it.
	ReasonLogUnavailable Reason = "log_unavailable"
	// ReasonLogSlow means that the log took too long to order the start record.
	ReasonLogSlow Reason = "log_slow"
	// ReasonNotReady means that the entry has not read the whole stream, or may not start calls.
	ReasonNotReady Reason = "not_ready"
	// ReasonOverloaded means that too many attempts or end records are open on this entry.
	ReasonOverloaded Reason = "overloaded"
	// ReasonCallerGone means that the caller disconnected.
	ReasonCallerGone Reason = "caller_gone"
)

// AnswerCmd gives a caller its final answer.
type AnswerCmd struct {
	Request ident.RequestID `json:"request"`
	Answer  Answer          `json:"answer"`
	Result  *Result         `json:"result,omitempty"`
	// Reason is set for [AnswerNotRun] and [AnswerUncertain] only.
	Reason Reason `json:"reason,omitempty"`
	// RetryAfter is how long to wait before a retry with the same key; 0 if a retry changes nothing.
	RetryAfter time.Duration `json:"retry_after"`
}
