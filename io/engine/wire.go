// Package engine talks to model engines and app engines.
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
	// CacheSalt keeps the prefix caches of organisations apart.
	CacheSalt string `json:"cache_salt"`
	// ResumeFrom is the number of the first token that the answer still lacks,
	// and Prior is the text before it.
	ResumeFrom int    `json:"resume_from"`
	Prior      string `json:"prior,omitempty"`
	Sampling
}

// Sampling holds the caller's sampling parameters, handed on as they came.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        []string `json:"stop,omitempty"`
}

// Event is one server-sent event of an engine's answer.
type Event struct {
	ID string `json:"id"`
	// Seq numbers the tokens from 0; the final marker has the number after the last.
	Seq  int    `json:"seq"`
	Text string `json:"text"`
	// Version is the weight version that made the token.
	Version ident.Version `json:"version"`
	// Finish is set on the final marker alone.
	Finish string `json:"finish_reason,omitempty"`
	Usage  *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of an answer.
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

// Reply is a plain service's answer.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client is what the entry asks of engines.
type Client interface {
	// Complete runs a completion and hands each event to sink until the final marker. Sink
	// returns [ErrDropped] for an event that does not count as progress.
	Complete(ctx context.Context, t Target, c Completion, sink func(Event) error) error
	// Call runs a call of a plain service.
	Call(ctx context.Context, t Target, c Call) (Reply, error)
	// Cancel stops the completion of an id.
	Cancel(ctx context.Context, address, id string) error
	// Load asks for the load report.
	Load(ctx context.Context, address string) (sched.Load, error)
}

// Target tells how to reach an upstream for one attempt.
type Target struct {
	Address string
	// Silence is how long the answer may bring no byte; 0 means without limit.
	Silence time.Duration
	// FreshConnection asks for a connection that no earlier request used.
	FreshConnection bool
}
