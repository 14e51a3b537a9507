package relay

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/core/poison"
	"cicadavalve/io/clock"
)

// Screening is what is known about crashes of a request before it is sent to an upstream. The zero value restricts
// nothing.
type Screening struct {
	// Blocked is set if the request must not run now, for the reason given.
	Blocked bool
	Reason  BlockReason
	// RetryAfter is when the caller may try again, negative if there is no such time.
	RetryAfter time.Duration
	// Trials lists the keys for which the request may run only on trial.
	Trials []poison.Digest
	// Key is the one that restricts the request most.
	Key poison.Digest
	// Avoid lists the upstreams on which other requests are on trial.
	Avoid []ident.UpstreamID
	// EvidenceAge is the time since the newest evidence against the request.
	EvidenceAge time.Duration
}

// BlockReason is why a request must not run.
type BlockReason string

// The reasons why a request must not run.
const (
	// InQuarantine requests crash the upstreams that run them.
	InQuarantine BlockReason = "quarantined"
	// OnTrial requests are on trial elsewhere, or the end of their trial is being examined.
	OnTrial BlockReason = "on_trial"
)

// trialRetryAfter is how long the caller of a request that is on trial elsewhere should wait: a trial lasts as long as
// one answer.
const trialRetryAfter = time.Second

// NewBlock returns the screening of a request that must not run.
func NewBlock(reason BlockReason, key poison.Digest, evidenceAge time.Duration) Screening {
	s := Screening{Blocked: true, Reason: reason, RetryAfter: trialRetryAfter, Key: key, EvidenceAge: evidenceAge}
	if reason == InQuarantine {
		s.RetryAfter = -1
	}
	return s
}

// Trial is the run of a request on trial, on an upstream without another one.
type Trial struct {
	ID       string
	Upstream ident.UpstreamID
	// Keys are those that are tried, at least one.
	Keys []poison.Digest
}

// Break is an attempt that an upstream broke off, or never began to answer.
type Break struct {
	Upstream ident.UpstreamID
	// Born is the incarnation of the upstream to which the request was sent.
	Born   int64
	Digest poison.Digest
	// Parts are those that may be at fault, none if an answer of the request had begun.
	Parts  []poison.Digest
	SentAt time.Time
	// Trial is the id of the trial that the attempt was, empty if it was none.
	Trial string
	// Unsent is set if no byte of the request was written, Refused if the upstream refused the connection.
	Unsent, Refused bool
	// Silent is set if the upstream did not break the connection off but stopped to respond. Abandoned is set if the
	// caller or the deadline then ended the attempt.
	Silent, Abandoned bool
}

// identify returns the digests of the request and of the parts of its prompt. They are empty while the secret is unknown.
func (x *exchange) identify() poison.Keys {
	digester := x.h.controller.Digester()
	if digester == nil || x.keys.Request != "" {
		return x.keys
	}
	x.keys.Request = digester.Digest(x.org, x.r.Method, x.r.Host, target(x.r), string(x.body))
	for _, part := range x.need.Shared() {
		x.keys.Parts = append(x.keys.Parts, digester.Part(x.partScope, part.ID))
	}
	return x.keys
}

// maxLoggedParts bounds the parts that one log line names.
const maxLoggedParts = 16

// partTexts joins the digests of the parts, at most [maxLoggedParts].
func (x *exchange) partTexts() string {
	var texts []string
	for _, d := range x.keys.Parts[:min(len(x.keys.Parts), maxLoggedParts)] {
		texts = append(texts, string(d))
	}
	return strings.Join(texts, " ")
}

// screen applies what is known about crashes of the request to its need.
func (x *exchange) screen() Screening {
	x.screening = x.h.controller.Screen(x.identify)
	x.need.Spread = ""
	if slices.Contains(x.screening.Trials, x.keys.Request) {
		x.need.Spread = string(x.keys.Request)
	}
	return x.screening
}

// approve screens the request once its upstream is chosen, and opens its trial if it needs one. It reports whether the
// request may be sent.
func (x *exchange) approve(cmd *place.SendCmd) bool {
	if s := x.screen(); len(s.Trials) > 0 {
		x.trial, x.screening.Blocked = x.h.controller.BeginTrial(x.head.ID, s.Trials, cmd.Upstream.ID)
		if x.screening.Blocked {
			x.screening = NewBlock(OnTrial, s.Key, s.EvidenceAge)
		}
	}
	return !x.screening.Blocked
}

// endTrial ends the trial of the last attempt, if it was one.
func (x *exchange) endTrial() {
	if x.trial.ID != "" {
		x.h.controller.EndTrial(x.trial)
		x.trial = Trial{}
	}
}

// refuseBlocked answers a request that must not run: as not run, unless an attempt may have run it before.
func (x *exchange) refuseBlocked(res result) {
	x.h.meter.CountBlocked(x.screening.Reason)
	if x.history.Runs > 0 || x.committed || res.failure != nil {
		x.finish(res)
		return
	}
	x.refuse(http.StatusServiceUnavailable, x.screening.RetryAfter, string(x.screening.Reason))
}

// reportBroken reports an attempt without a complete answer. If the context has ended, the caller or the deadline ended
// the attempt, and it is reported only if the upstream had been silent for long. Another entry reports its own attempts; cmd is
// nil then. What was recalled is no fault of the upstream; if its first byte was overdue, its attempt counts as one that the deadline ended.
func (x *exchange) reportBroken(ctx context.Context, cmd *place.SendCmd, b Break) {
	if cause := context.Cause(ctx); cmd == nil || errors.Is(cause, ErrRecalled) && !errors.Is(cause, ErrOverdue) {
		return
	}
	age := clock.Since(x.sentAt)
	b.Abandoned = ctx.Err() != nil
	if b.Abandoned && (age < silenceThreshold || !x.firstAt.IsZero()) {
		return
	}
	b.Silent = b.Abandoned || errors.Is(x.cause, syscall.ETIMEDOUT)
	b.Upstream, b.Born, b.SentAt, b.Trial = cmd.Upstream.ID, cmd.Upstream.Born, x.sentAt, x.trial.ID
	if !b.Unsent {
		b.Digest = x.identify().Request
		if x.firstAt.IsZero() {
			b.Parts = x.keys.Parts
		}
	}
	x.h.log.Info("attempt_broken", "request", x.head.ID, "digest", b.Digest, "parts", x.partTexts(), "got", x.progress.String(), "upstream", b.Upstream, "born", b.Born, "route", x.route.Name,
		"age", age, "silent", b.Silent, "unsent", b.Unsent, "began", !x.firstAt.IsZero(), "trial", b.Trial != "", "cause", errorText(x.cause))
	x.h.controller.ObserveBreak(b)
}

// silenceThreshold is how long an upstream must have sent nothing before the end of an attempt by its caller or its
// deadline may mean that the upstream has crashed: callers that change their mind leave sooner.
const silenceThreshold = time.Second
