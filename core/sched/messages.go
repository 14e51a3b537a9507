package sched

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// Request describes a caller's request to the scheduler, without its prompt.
type Request struct {
	// ID is assigned by the entry and unique within it.
	ID  ident.RequestID `json:"id"`
	Org ident.OrgID     `json:"org"`
	// CallerID is the caller's own id of the request, from X-Request-Id.
	CallerID string `json:"caller_id"`
	// Model is set for a completion, Service for a call; never both.
	Model   ident.ModelName   `json:"model,omitempty"`
	Service ident.ServiceName `json:"service,omitempty"`
	Class   ident.Class       `json:"class"`
	// PromptRoot identifies the first block of the prompt.
	PromptRoot   uint64 `json:"prompt_root"`
	PromptTokens int    `json:"prompt_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	// Repeatable is false if the request must not be resent once it may have run.
	Repeatable bool `json:"repeatable"`
	// Digest is a keyed hash of the organisation and the request.
	Digest poison.Digest `json:"digest,omitempty"`
	// Deadline is the time from arrival after which the answer is useless; 0 means none.
	Deadline time.Duration `json:"deadline"`
}

// Role is the kind of an upstream.
type Role string

// Roles of VMs in the platform's list.
const (
	RoleEngine Role = "engine"
	RoleApp    Role = "app"
	RoleStore  Role = "store"
)

// Upstream is one upstream of the platform's VM list.
type Upstream struct {
	ID      ident.UpstreamID `json:"id"`
	Role    Role             `json:"role"`
	Address string           `json:"address"`
	Zone    ident.Zone       `json:"zone"`
	Leaving bool             `json:"leaving"`
	// Services lists the services of an app engine.
	Services []ident.ServiceName `json:"services,omitempty"`
}

// Loaded is a model version loaded on an engine.
type Loaded struct {
	Model   ident.ModelName `json:"model"`
	Version ident.Version   `json:"version"`
}

// Load is an upstream's load report; it lags behind the upstream's state.
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

// UnreachableMsg reports that an upstream did not answer a probe.
type UnreachableMsg struct {
	Upstream ident.UpstreamID `json:"upstream"`
	// Waited is the time since the probe started.
	Waited time.Duration `json:"waited"`
}

// RulesMsg applies a version of the operator's rules file.
type RulesMsg struct {
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

// ArriveMsg reports a new request from a caller.
type ArriveMsg struct {
	Request Request `json:"request"`
}

// FirstMsg reports the first token of an attempt.
type FirstMsg struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
}

// EndMsg reports that an attempt delivered the complete answer.
type EndMsg struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	// CachedTokens counts the prompt tokens that the upstream took from its cache.
	CachedTokens int `json:"cached_tokens"`
}

// WakeMsg reports that the entry leaves its idle state, in which it rarely polls for load reports.
type WakeMsg struct{}

// Cause is why an attempt failed.
type Cause string

// Causes of failure.
const (
	// CauseConnect means that connecting failed; nothing was sent.
	CauseConnect Cause = "connect"
	// CauseRefused means that the upstream confirmed that it did not run the request.
	CauseRefused Cause = "refused"
	// CauseBroken means that the connection or the stream broke.
	CauseBroken Cause = "broken"
	// CauseSilent means that no byte arrived within the class's silence timeout.
	CauseSilent Cause = "silent"
	// CauseInvalid means that an event did not belong to the request or was out of sequence.
	CauseInvalid Cause = "invalid"
)

// FailMsg reports that an attempt failed.
type FailMsg struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	Cause   Cause           `json:"cause"`
	// Delivered counts the tokens already delivered to the caller.
	Delivered int `json:"delivered"`
}

// GoneMsg reports that the caller disconnected or that its answer has been written.
type GoneMsg struct {
	Request ident.RequestID `json:"request"`
}

// TickMsg triggers time-outs and other periodic work.
type TickMsg struct{}
