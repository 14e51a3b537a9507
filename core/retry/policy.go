package retry

import "cicadavalve/core/conf"

// Ending tells how an attempt at an upstream ended without an answer for the caller.
type Ending int

// The endings of an attempt.
const (
	// NotSent means that no byte of the request was written.
	NotSent Ending = iota
	// NotRun means that the upstream itself said that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Failure means that the upstream ran the request and reported a failure.
	Failure
)

// mostSpared is how many times a request may be sent again that provably did not run.
const mostSpared = 3

// Past is what has become of a request so far.
type Past struct {
	// Runs counts the upstreams that may have run it.
	Runs int
	// Spared counts the upstreams that did not.
	Spared int
	// Events tells that events of a stream have gone to the caller.
	Events bool
}

// May tells whether a request may be sent to another upstream after an attempt ended so.
//
//	if retry.May(route, retry.Unknown, past) { sendAgain() }
func May(route *conf.Route, ending Ending, past Past) bool {
	switch ending {
	case NotSent, NotRun:
		return past.Spared <= mostSpared && (past.Runs < route.Attempts)
	case Unknown:
		return route.Repeatable() && past.Runs < route.Attempts
	case Failure:
		return route.Kind == conf.Repeat && past.Runs < route.Attempts
	}
	return false
}

// Counts tells whether an attempt after such an ending takes from the budget: all but those
// after which the upstream saw nothing.
func (e Ending) Counts() bool { return e != NotSent }
