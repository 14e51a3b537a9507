// Package engine is the client of model engines and app engines.
package engine

import (
	"context"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// Completion is the body of POST /v1/completions on a model engine.
type Completion struct {
	// RequestID is echoed on every event of the answer.
	RequestID string          `json:"request_id"`
	Model     ident.ModelName `json:"model"`
	Version   ident.Version   `json:"version"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	// CacheSalt separates the prefix caches of organisations.
	CacheSalt string `json:"cache_salt"`
	// ResumeFrom is the number of the first token to generate, and Prior is the text before it.
	ResumeFrom int    `json:"resume_from"`
	Prior      string `json:"prior,omitempty"`
	Sampling
}

// Sampling holds the caller's sampling parameters, passed on unchanged.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        []string `json:"stop,omitempty"`
}

// Event is one server-sent event of an engine's answer.
type Event struct {
	ID string `json:"id"`
	// Seq numbers the tokens from 0; the final event has the number after that of the last token.
	Seq  int    `json:"seq"`
	Text string `json:"text"`
	// Version is the weight version that generated the token.
	Version ident.Version `json:"version"`
	// Finish is set on the final event only.
	Finish string `json:"finish_reason,omitempty"`
	Usage  *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	Version          ident.Version `json:"version"`
	PromptTokens     int           `json:"prompt_tokens"`
	CachedTokens     int           `json:"cached_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
}

// Call is a request to a plain service.
type Call struct {
	Service     ident.ServiceName
	Path        string
	Key         string
	ContentType string
	Body        []byte
}

// Reply is the response of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends requests to engines.
type Client interface {
	// Complete runs a completion and passes each event to sink until the stream's end marker. Sink returns
	// [ErrSkipEvent] for an event that does not count as progress.
	Complete(ctx context.Context, t Target, c Completion, sink func(Event) error) error
	// Call runs a call of a plain service.
	Call(ctx context.Context, t Target, c Call) (Reply, error)
	// Cancel stops the completion with a request id.
	Cancel(ctx context.Context, address, id string) error
	// Load fetches the load report.
	Load(ctx context.Context, address string) (sched.Load, error)
}

// Target describes how to reach an upstream for one attempt.
type Target struct {
	Address string
	// SilenceTimeout is the maximum time between accepted events of a completion, or until the end of a call's reply;
	// 0 means no limit.
	SilenceTimeout time.Duration
	// FreshConnection requests a connection that no earlier request has used.
	FreshConnection bool
}
