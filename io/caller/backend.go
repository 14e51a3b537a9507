// Package caller serves the callers' HTTP interface.
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
	// Key is the caller's idempotency key; it is required where the service runs calls once.
	Key         string
	ContentType string
	Body        []byte
	Deadline    time.Duration
}

// Answer ends a completion.
type Answer struct {
	Version ident.Version
	Usage   engine.Usage
}

// Refusal is the final answer to a request that gets no result.
type Refusal struct {
	Status  int
	Code    sched.Code
	Message string
	// NotRun is true only where no upstream can have run the request.
	NotRun     bool
	RetryAfter time.Duration
}

// Error gives the refusal in one line.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// Address is an entry that callers may use.
type Address struct {
	Entry   ident.EntryID `json:"entry"`
	Address string        `json:"address"`
	Zone    ident.Zone    `json:"zone"`
	Weight  int           `json:"weight"`
}

// Advice is the body that answers GET /v1/entries.
type Advice struct {
	Entries []Address `json:"entries"`
	// HoldMs is how long a caller may keep the answer, in milliseconds.
	HoldMs int64 `json:"hold_ms"`
}

// Backend runs the callers' requests.
type Backend interface {
	// Org is the organisation of a bearer token, and whether the token is known.
	Org(token string) (org ident.OrgID, known bool)
	// Complete hands each token to sink in order; its error is a *Refusal where the caller gets one.
	Complete(ctx context.Context, c Completion, sink func(token string) error) (Answer, error)
	// Call runs a call of a plain service.
	Call(ctx context.Context, c Call) (engine.Reply, error)
	// Entries tells which entries to use.
	Entries(ctx context.Context) Advice
	// Ready is nil once the entry can serve.
	Ready(ctx context.Context) error
}
