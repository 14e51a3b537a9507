package entry

import (
	"net/http"

	"cicadavalve/core/once"
	"cicadavalve/core/sched"
	"cicadavalve/io/caller"
)

// The refusal codes specific to once-only calls.
const (
	codeKeyRequired   sched.Code = "idempotency_key_required"
	codeKeyReused     sched.Code = "idempotency_key_reused"
	codeKeyExpired    sched.Code = "idempotency_key_expired"
	codeInProgress    sched.Code = "in_progress"
	codeResultNotKept sched.Code = "result_not_kept"
)

// onceRefusals maps each answer except the result to its refusal. NotRun is set only where
// the answer proves that the request has not run.
var onceRefusals = map[once.Answer]caller.Refusal{
	once.AnswerNotRun: {
		Message: "no call with this key was sent to any upstream; ask again with the same key", NotRun: true,
	},
	once.AnswerUncertain: {
		Message: "this request was not sent, but an earlier one with the key may have run; ask again with the same key",
	},
	once.AnswerInProgress: {
		Status: http.StatusConflict, Code: codeInProgress,
		Message: "another call with this key has started and not ended; ask again with the same key",
	},
	once.AnswerUnknown: {
		Code: sched.CodeOutcomeUnknown, Message: "the call may have run and will not be run again",
	},
	once.AnswerNotKept: {
		Status: http.StatusConflict, Code: codeResultNotKept,
		Message: "the call has run; its result was too large to keep",
	},
	once.AnswerMismatch: {
		Status: http.StatusUnprocessableEntity, Code: codeKeyReused, NotRun: true,
		Message: "this key was used before with another body; this body was not run",
	},
	once.AnswerExpired: {
		Status: http.StatusGone, Code: codeKeyExpired,
		Message: "this key is older than the time for which keys are kept; a call with it may have run before",
	},
}

// notRunStatuses maps the reasons that are not scheduler codes to HTTP statuses.
var notRunStatuses = map[once.Reason]int{
	once.ReasonLogUnavailable: http.StatusServiceUnavailable,
	once.ReasonLogSlow:        http.StatusServiceUnavailable,
	once.ReasonNotReady:       http.StatusServiceUnavailable,
}

// errSendExpired is the refusal of a call that was not sent within its time limit.
var errSendExpired = &caller.Refusal{
	Code: sched.Code(once.ReasonLogSlow), Message: "the permission to send has expired", NotRun: true, RetryAfter: retryAfter,
}
