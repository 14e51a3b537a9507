package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// request is the state of a request without a final answer.
type request struct {
	Request
	arrivedAt time.Time
	// attempt is the number of the current attempt, from 1; events of earlier ones are ignored.
	attempt int
	// moves counts the attempts that ended by a move rather than a failure; they don't count as retries.
	moves int
	// lagResends counts the moves caused by this entry's own lag; at most maxAttempts.
	lagResends int
	// upstream is the upstream of the current attempt; empty while there is none.
	upstream ident.UpstreamID
	// boot is the boot that the upstream had reported when the current attempt was sent.
	boot ident.BootID
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// key identifies the request's cached context; see [route.Key].
	key uint64
	// backlogTokens is the number of prompt tokens that the current attempt adds to its upstream's backlog.
	backlogTokens int
	// tried lists the upstreams of the failed attempts.
	tried []ident.UpstreamID
	// version is fixed once the caller has a token, so that an answer never mixes two versions.
	version ident.Version
	// confirmRequested is true once the members were asked to confirm the losses before the trial, confirmed
	// once they have.
	confirmRequested, confirmed bool
	// mayHaveRun is true once an upstream may have run the request.
	mayHaveRun bool
	// delivered counts the tokens delivered to the caller.
	delivered int
	// reserved is the upstream reserved for a suspect request; isolated is true while the request runs there.
	reserved ident.UpstreamID
	isolated bool
	// parkedSince is when the request was first parked, or zero.
	parkedSince time.Time
	// trial was requested at trialSince; its ID is empty if there is none.
	trial      poison.TrialBody
	trialSince time.Time
	// trials counts the trials requested.
	trials int
	// waitSince is when the request joined the wait queue.
	waitSince time.Time
	// preempted counts how often the request was displaced by a more urgent one.
	preempted int
	// startBacklog is the upstream's backlog in prompt tokens at the start of the attempt, including its own;
	// firstTokenAt is when its first token arrived, or zero.
	startBacklog int
	firstTokenAt time.Time
}

// refusal returns the command that refuses the request.
func (r *request) refusal(code Code, message string) RefuseCmd {
	return RefuseCmd{Request: r.ID, Code: code, Message: message, NotRun: !r.mayHaveRun, RetryAfter: defaultRetryDelay}
}
