package retry

import "cicadavalve/core/conf"

// Ending classifies an attempt at an upstream that ended without an answer for the caller.
type Ending int

// The endings of an attempt.
const (
	// NotSent means that no byte of the request was written to the upstream.
	NotSent Ending = iota
	// NotRun means that the upstream reported that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Failure means that the upstream ran the request and reported a failure.
	Failure
)

// maxNotRunRetries is the maximum number of retries of a request after attempts that provably did not run it.
const maxNotRunRetries = 3

// History counts the attempts of a request so far.
type History struct {
	// Runs counts the attempts that may have run the request.
	Runs int
	// NotRun counts the attempts that provably did not run it.
	NotRun int
	// Events is true if events of a stream have been sent to the caller.
	Events bool
}

// May reports whether a request may be sent to another upstream after an attempt with the given ending; history
// includes that attempt.
//
//	if retry.May(route, retry.Unknown, history) { resend() }
func May(route *conf.Route, ending Ending, history History) bool {
	switch ending {
	case NotSent, NotRun:
		return history.NotRun <= maxNotRunRetries && (history.Runs < route.MaxAttempts)
	case Unknown:
		return route.Repeatable() && history.Runs < route.MaxAttempts
	case Failure:
		return route.Kind == conf.Repeat && history.Runs < route.MaxAttempts
	}
	return false
}

// UsesBudget reports whether a retry after this ending uses the retry budget. Only NotSent does not, since the
// upstream received nothing.
func (e Ending) UsesBudget() bool { return e != NotSent }
