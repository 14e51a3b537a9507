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
	// Priority is the upstream's: a lower number runs first.
	Priority int         `json:"priority"`
	Class    ident.Class `json:"class"`
	// ResumeFrom is the sequence number of the first token that the caller still lacks.
	ResumeFrom int `json:"resume_from"`
	// Silence is how long the stream may bring no byte before it counts as broken.
	Silence time.Duration `json:"silence"`
	// FreshConnection asks for a connection that no earlier request used.
	FreshConnection bool `json:"fresh_connection"`
}

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of refusals.
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

// RefuseCmd asks to give the caller its final answer at once.
type RefuseCmd struct {
	Request ident.RequestID `json:"request"`
	Code    Code            `json:"code"`
	Message string          `json:"message"`
	// NotRun is true only where no upstream can have run the request.
	NotRun     bool          `json:"not_run"`
	RetryAfter time.Duration `json:"retry_after"`
}

// CancelCmd asks to stop an attempt on its upstream.
type CancelCmd struct {
	Request  ident.RequestID  `json:"request"`
	Attempt  int              `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
}
