package sched

import (
	"time"

	"cicadavalve/core/ident"
)

// SendCmd asks to send a request to an upstream.
type SendCmd struct {
	Request  ident.RequestID  `json:"request"`
	Attempt  int              `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
	Address  string           `json:"address"`
	// Version is the weight version that the upstream must use; empty for a call.
	Version ident.Version `json:"version,omitempty"`
	// Priority orders requests on the upstream: lower numbers run first.
	Priority int         `json:"priority"`
	Class    ident.Class `json:"class"`
	// ResumeFrom is the sequence number of the next token to deliver to the caller.
	ResumeFrom int `json:"resume_from"`
	// Silence is the longest gap between bytes of the stream before the attempt fails as [CauseSilent].
	Silence time.Duration `json:"silence"`
	// FreshConnection asks for a new connection instead of a pooled one.
	FreshConnection bool `json:"fresh_connection"`
}

// Code is the machine-readable reason for a refusal.
type Code string

// Refusal codes.
const (
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeNoUpstream     Code = "no_upstream"
	CodeOverloaded     Code = "overloaded"
	CodeUpstreamFailed Code = "upstream_failed"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeQuarantined    Code = "quarantined"
	CodeNotReady       Code = "not_ready"
)

// RefuseCmd asks to answer the caller with an error.
type RefuseCmd struct {
	Request ident.RequestID `json:"request"`
	Code    Code            `json:"code"`
	Message string          `json:"message"`
	// NotRun is true only if no upstream can have run the request.
	NotRun bool `json:"not_run"`
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration `json:"retry_after"`
}

// CancelCmd asks to cancel an attempt on its upstream.
type CancelCmd struct {
	Request  ident.RequestID  `json:"request"`
	Attempt  int              `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
}
