package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// request is a caller's request that has no final answer yet.
type request struct {
	Request
	arrived time.Time
	// attempt numbers the sendings from 1; an event of an earlier one is ignored.
	attempt int
	// moves counts the attempts that were moved rather than failed.
	moves int
	// excuses counts the moves of which this entry's own lateness was the reason; at most maxAttempts.
	excuses int
	// on is the upstream of the current attempt, or empty.
	on ident.UpstreamID
	// sent is when the current attempt began.
	sent time.Time
	// key names the kept context that the request may find.
	key uint64
	// missing is the prompt tokens that the current attempt adds to its upstream's backlog.
	missing int
	// tried lists the upstreams of the failed attempts.
	tried []ident.UpstreamID
	// version is fixed by the first sending, so that an answer is never of two versions.
	version ident.Version
	// confirming is true once the members were asked about the losses before the trial, confirmed once they know.
	confirming, confirmed bool
	// touched is true once an upstream may have run the request.
	touched bool
	// delivered counts the tokens that the caller has.
	delivered int
	// reserved is the upstream held for a suspect request, and alone is true while it runs there.
	reserved ident.UpstreamID
	alone    bool
	// aloneSince is when the request first waited for an upstream of its own.
	aloneSince time.Time
	// trial is the one asked for since trialSince; its id is empty where there is none.
	trial      poison.TrialBody
	trialSince time.Time
	// trials counts the trials asked for.
	trials int
	// waitSince is when the request began to wait for room on an upstream.
	waitSince time.Time
	// preempted counts how often it was taken off an upstream for a more urgent request.
	preempted int
	// queued is the backlog in prompt tokens that the attempt began with, its own included, and
	// firstAt when its first token came.
	queued  int
	firstAt time.Time
}

func (r *request) refuse(code Code, message string) RefuseCmd {
	return RefuseCmd{Request: r.ID, Code: code, Message: message, NotRun: !r.touched, RetryAfter: retryAfter}
}
