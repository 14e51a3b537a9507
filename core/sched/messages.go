package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// Request is what the scheduler knows of a caller's request; it holds no prompt.
type Request struct {
	// ID is unique within the entry: the entry makes it, not the caller.
	ID  ident.RequestID `json:"id"`
	Org ident.OrgID     `json:"org"`
	// CallerID is the caller's own name of the request, as X-Request-Id gave it.
	CallerID string `json:"caller_id"`
	// Model is set for a completion, Service for a call; never both.
	Model        ident.ModelName   `json:"model,omitempty"`
	Service      ident.ServiceName `json:"service,omitempty"`
	Class        ident.Class       `json:"class"`
	PromptRoot   uint64            `json:"prompt_root"`
	PromptTokens int               `json:"prompt_tokens"`
	MaxTokens    int               `json:"max_tokens"`
	// Repeatable is false where a second sending may run the request twice.
	Repeatable bool `json:"repeatable"`
	// Digest is a keyed hash of the organisation and the request.
	Digest poison.Digest `json:"digest,omitempty"`
	// Deadline is how long after its arrival the answer is of no more use; 0 means never.
	Deadline time.Duration `json:"deadline"`
}

// Role is what an upstream serves.
type Role string

// The roles of VMs in the platform's list.
const (
	RoleEngine Role = "engine"
	RoleApp    Role = "app"
	RoleStore  Role = "store"
)

// Upstream is an upstream as the platform's list shows it.
type Upstream struct {
	ID      ident.UpstreamID `json:"id"`
	Role    Role             `json:"role"`
	Address string           `json:"address"`
	Zone    ident.Zone       `json:"zone"`
	Leaving bool             `json:"leaving"`
	// Services is what an app engine serves.
	Services []ident.ServiceName `json:"services,omitempty"`
}

// Loaded is a model version that an engine holds.
type Loaded struct {
	Model   ident.ModelName `json:"model"`
	Version ident.Version   `json:"version"`
}

// Load is an upstream's own report, which lags.
type Load struct {
	BootID  ident.BootID `json:"boot_id"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Loaded  []Loaded     `json:"loaded"`
}

// UpstreamsMsg replaces the list of upstreams.
type UpstreamsMsg struct {
	Upstreams []Upstream `json:"upstreams"`
}

// LoadMsg carries an upstream's load report.
type LoadMsg struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Load     Load             `json:"load"`
}

// UnreachableMsg says that an upstream did not answer a probe.
type UnreachableMsg struct {
	Upstream ident.UpstreamID `json:"upstream"`
	// Waited is how long ago the probe began.
	Waited time.Duration `json:"waited"`
}

// RulesMsg puts a version of the operator's file in force.
type RulesMsg struct {
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

// ArriveMsg says that a caller's request has arrived.
type ArriveMsg struct {
	Request Request `json:"request"`
}

// FirstMsg says that the first token of an attempt has arrived.
type FirstMsg struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
}

// EndMsg says that an attempt delivered the whole answer.
type EndMsg struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	// CachedTokens is how much of the prompt the upstream did not recompute.
	CachedTokens int `json:"cached_tokens"`
}

// WakeMsg says that the entry has work again after a time in which it rarely asked for load reports.
type WakeMsg struct{}

// Cause is why an attempt failed.
type Cause string

// The causes of failure.
const (
	// CauseConnect means that no connection was made; nothing was sent.
	CauseConnect Cause = "connect"
	// CauseRefused means that the upstream proved that it did not run the request.
	CauseRefused Cause = "refused"
	// CauseBroken means that the connection or the stream broke.
	CauseBroken Cause = "broken"
	// CauseSilent means that no byte came within the class's limit.
	CauseSilent Cause = "silent"
	// CauseInvalid means that an event did not belong to the request or was out of sequence.
	CauseInvalid Cause = "invalid"
)

// FailMsg says that an attempt failed.
type FailMsg struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	Cause   Cause           `json:"cause"`
	// Delivered counts the tokens that the caller already has.
	Delivered int `json:"delivered"`
}

// GoneMsg says that the caller went away or that its answer has been written.
type GoneMsg struct {
	Request ident.RequestID `json:"request"`
}

// TickMsg lets time-outs be noticed; it comes at a steady interval.
type TickMsg struct{}
