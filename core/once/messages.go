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
	// KindNotRun says that the attempt was not sent and never will be.
	KindNotRun ledger.Kind = "not_run"
	// KindDone carries the result of an attempt.
	KindDone ledger.Kind = "done"
	// KindUnknown says that the attempt may have run. Any entry may write it for an abandoned attempt.
	KindUnknown ledger.Kind = "unknown"
	// KindSnapshot carries a part of a fold.
	KindSnapshot ledger.Kind = "snapshot"
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
	// Omitted is true where the body was larger than what is kept.
	Omitted bool `json:"omitted,omitempty"`
}

// Body is the body of the start, not_run, done and unknown records.
type Body struct {
	Key Key `json:"key"`
	// Digest is the hash of the call's service, path and body.
	Digest string `json:"digest"`
	// Attempt is the id of the start record that the record belongs to.
	Attempt string `json:"attempt"`
	// Entry and Incarnation made the attempt; they need not have written the record.
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
	// Barred is set where the call may not be started; it is then refused for this reason, after
	// the same question as any other whether a call with the key was sent before.
	Barred Reason `json:"barred,omitempty"`
}

// NotRunMsg says that no byte of an attempt was or will be written to any upstream.
type NotRunMsg struct {
	Attempt string `json:"attempt"`
	Reason  Reason `json:"reason"`
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration `json:"retry_after"`
}

// DoneMsg says that an attempt was sent and how it ended; a nil Result means that this is not known.
type DoneMsg struct {
	Attempt string  `json:"attempt"`
	Result  *Result `json:"result"`
}

// AppendFailedMsg says that the log did not take an attempt's record in time. It may take effect all the same.
type AppendFailedMsg struct {
	Attempt string      `json:"attempt"`
	Kind    ledger.Kind `json:"kind"`
}

// LogMsg says whether the log takes appends.
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
	// All is true where each member of the roster answered, knows its keys and knows of no other member.
	All bool `json:"all"`
	// Next is the highest offset that any of them wants to fold next.
	Next int64 `json:"next"`
	// Answered is true where each other member of the roster answered.
	Answered bool `json:"answered"`
	// Epoch is the lowest epoch of the roster that any of them has folded.
	Epoch int64 `json:"epoch"`
}

// MembersMsg says who is a member.
type MembersMsg struct {
	Epoch int64 `json:"epoch"`
	// Self is this entry's incarnation in the roster, or empty while it is no member.
	Self   ident.BootID   `json:"self"`
	Others []ident.BootID `json:"others"`
	// Cut is true where members may have departed unseen.
	Cut bool `json:"cut"`
}

// LeaseMsg says until when this entry may act as a member.
type LeaseMsg struct {
	Until time.Time `json:"until"`
	// Leaving is when a planned stop began under a lease, or zero.
	Leaving time.Time `json:"leaving"`
}

// TickMsg lets time-outs be noticed; it comes at a steady interval.
type TickMsg struct{}

// AppendCmd asks to append a record to [StreamOnce].
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// SendCmd allows the one sending of an attempt.
type SendCmd struct {
	Request ident.RequestID `json:"request"`
	Attempt string          `json:"attempt"`
	// Within is how long after the call's arrival the sending may still begin.
	Within time.Duration `json:"within"`
}

// Answer is how a call ends for its caller.
type Answer string

// The answers to a call.
const (
	// AnswerResult carries the kept result.
	AnswerResult Answer = "result"
	// AnswerNotKept means that the call has run and that its result was too large to keep.
	AnswerNotKept Answer = "result_not_kept"
	// AnswerInProgress means that another attempt with the key has started and not ended.
	AnswerInProgress Answer = "in_progress"
	// AnswerUnknown means that the call may have run; it will not be run again.
	AnswerUnknown Answer = "outcome_unknown"
	// AnswerNotRun means that this attempt was not sent and never will be, and that no earlier one was.
	AnswerNotRun Answer = "not_run"
	// AnswerDoubt means that this attempt was not sent and never will be, and that an earlier one may have been.
	AnswerDoubt Answer = "not_known"
	// AnswerMismatch means that the key was used before with another body.
	AnswerMismatch Answer = "key_reused"
	// AnswerExpired means that the key is older than the window; it is not run.
	AnswerExpired Answer = "key_expired"
)

// Reason is why a call was not sent.
type Reason string

// The reasons that the model itself finds.
const (
	// ReasonLog means that the log does not take records.
	ReasonLog Reason = "log_unavailable"
	// ReasonLate means that the log took too long to order the start record.
	ReasonLate Reason = "log_slow"
	// ReasonNotKnown means that the entry has not read which keys are taken.
	ReasonNotKnown Reason = "not_ready"
	// ReasonBusy means that too many calls wait on this entry.
	ReasonBusy Reason = "overloaded"
	// ReasonGone means that the caller went away.
	ReasonGone Reason = "caller_gone"
)

// AnswerCmd gives a caller its final answer.
type AnswerCmd struct {
	Request ident.RequestID `json:"request"`
	Answer  Answer          `json:"answer"`
	Result  *Result         `json:"result,omitempty"`
	// Reason is set for AnswerNotRun and AnswerDoubt alone.
	Reason Reason `json:"reason,omitempty"`
	// RetryAfter is when to ask again with the same key; 0 where asking again changes nothing.
	RetryAfter time.Duration `json:"retry_after"`
}
