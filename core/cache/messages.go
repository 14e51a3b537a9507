package cache

import (
	"time"

	"cicadavalve/core/ident"
)

// Cause is why a prompt's context is recomputed, or not exported.
type Cause string

// The causes.
const (
	// CauseAbsent means that the store has no manifest for the context.
	CauseAbsent Cause = "absent"
	// CauseGone means that a block that the manifest names was missing or had changed.
	CauseGone Cause = "gone"
	// CauseSlow means that the import is expected to take longer than the prefill or the import deadline.
	CauseSlow Cause = "link_slow"
	// CauseBusy means that this entry's share of the link is in use.
	CauseBusy Cause = "link_busy"
	// CauseTimeout means that the transfer did not end within its deadline.
	CauseTimeout Cause = "timeout"
	// CauseStore means that the store did not answer, or answered with an error.
	CauseStore Cause = "store_failed"
	// CauseEngine means that the engine did not carry out the transfer.
	CauseEngine Cause = "engine_failed"
	// CauseFull means that the store has no space left.
	CauseFull Cause = "store_full"
	// CauseNoStore means that every store is unlisted, leaving or drained, or that no rules are in force.
	CauseNoStore Cause = "no_store"
	// CauseSmall means that the prompt has too few tokens or no whole block.
	CauseSmall Cause = "small"
	// CauseStored means that the context is stored already.
	CauseStored Cause = "stored"
	// CauseQuarantined means that the request is in quarantine, as it crashes upstreams.
	CauseQuarantined Cause = "quarantined"
	// CauseQueueFull means that too many exports wait.
	CauseQueueFull Cause = "queue_full"
	// CauseLate means that the export waited too long or lost its store, or that the engine no longer held the context.
	CauseLate Cause = "late"
	// CauseCancelled means that the request was moved or its caller left.
	CauseCancelled Cause = "cancelled"
)

// ImportCmd requests the import of a request's context into its upstream before the attempt is sent.
type ImportCmd struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	Org     ident.OrgID     `json:"org"`
	Model   ident.ModelName `json:"model"`
	// Version is that of the attempt; no block of another version may be read.
	Version      ident.Version    `json:"version"`
	Upstream     ident.UpstreamID `json:"upstream"`
	Address      string           `json:"address"`
	Store        ident.UpstreamID `json:"store"`
	StoreAddress string           `json:"store_address"`
	// Deadline bounds the whole import.
	Deadline time.Duration `json:"deadline"`
}

// RecomputeCmd reports that an attempt which could use an import is sent without one, and why.
type RecomputeCmd struct {
	Request ident.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	Cause   Cause           `json:"cause"`
}

// ImportedMsg ends an [ImportCmd].
type ImportedMsg struct {
	Request ident.RequestID  `json:"request"`
	Attempt int              `json:"attempt"`
	Store   ident.UpstreamID `json:"store"`
	// Cause is empty if the upstream holds every block that the manifest names.
	Cause Cause `json:"cause,omitempty"`
	// Named counts the prompt's blocks in the manifest, Moved those that were transferred over the link.
	Named int   `json:"named"`
	Moved int   `json:"moved"`
	Bytes int64 `json:"bytes"`
	// Lookup is the time to read the manifest, Took the duration of the transfer.
	Lookup time.Duration `json:"lookup"`
	Took   time.Duration `json:"took"`
}

// ExportCmd requests the export of a request's context from the upstream that computed it.
type ExportCmd struct {
	Request      ident.RequestID  `json:"request"`
	Org          ident.OrgID      `json:"org"`
	Model        ident.ModelName  `json:"model"`
	Version      ident.Version    `json:"version"`
	Upstream     ident.UpstreamID `json:"upstream"`
	Address      string           `json:"address"`
	Store        ident.UpstreamID `json:"store"`
	StoreAddress string           `json:"store_address"`
	// Generation is the prefix of the names of the export's blocks; it is unique to the export.
	Generation string        `json:"generation"`
	Deadline   time.Duration `json:"deadline"`
}

// DropCmd reports that a request's context will not be exported, and why.
type DropCmd struct {
	Request ident.RequestID `json:"request"`
	Cause   Cause           `json:"cause"`
}

// ExportedMsg ends an [ExportCmd].
type ExportedMsg struct {
	Request ident.RequestID  `json:"request"`
	Store   ident.UpstreamID `json:"store"`
	// Cause is empty or [CauseStored] if the store holds the context.
	Cause Cause `json:"cause,omitempty"`
	// Stored counts the blocks that the manifest now names, Moved those that were transferred over the link.
	Stored int           `json:"stored"`
	Moved  int           `json:"moved"`
	Bytes  int64         `json:"bytes"`
	Took   time.Duration `json:"took"`
}
