// Package caller implements the HTTP API for callers.
package caller

import (
	"context"
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/engine"
)

// Completion is a caller's request for a completion.
type Completion struct {
	Org       ident.OrgID
	RequestID string
	Model     ident.ModelName
	Class     ident.Class
	Prompt    string
	MaxTokens int
	Deadline  time.Duration
	Sampling  engine.Sampling
}

// Call is a caller's request to a plain service.
type Call struct {
	Org       ident.OrgID
	RequestID string
	Class     ident.Class
	Service   ident.ServiceName
	Path      string
	// Key is the caller's idempotency key; services that run each call at most once require it.
	Key         string
	ContentType string
	Body        []byte
	Deadline    time.Duration
}

// Answer is returned once a completion has ended; the tokens were passed to the sink before.
type Answer struct {
	Version ident.Version
	Usage   engine.Usage
}

// Refusal is the error response to a request that gets no result.
type Refusal struct {
	Status  int
	Code    sched.Code
	Message string
	// NotRun is true only if no upstream can have run the request.
	NotRun bool
	// RetryAfter is the delay before a retry; 0 if none is advised.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// Address locates an entry that callers may use.
type Address struct {
	Entry   ident.EntryID `json:"entry"`
	Address string        `json:"address"`
	Zone    ident.Zone    `json:"zone"`
	Weight  int           `json:"weight"`
}

// Advice is the response body of GET /v1/entries.
type Advice struct {
	Entries []Address `json:"entries"`
	// HoldMs is how long a caller may cache the response, in milliseconds.
	HoldMs int64 `json:"hold_ms"`
}

// Backend runs the requests that callers send.
type Backend interface {
	// Org returns the organisation of a bearer token; known is false for an unknown token.
	Org(token string) (org ident.OrgID, known bool)
	// Complete runs a completion and passes each token to sink in order. An error that is not a *Refusal is
	// answered as an internal error.
	Complete(ctx context.Context, c Completion, sink func(token string) error) (Answer, error)
	// Call runs a call of a plain service. Its errors are answered like those of Complete.
	Call(ctx context.Context, c Call) (engine.Reply, error)
	// Entries returns the entries that callers should use.
	Entries(ctx context.Context) Advice
	// Ready returns nil once the entry can serve.
	Ready(ctx context.Context) error
}
