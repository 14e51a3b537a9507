package cache

import (
	"time"

	"cicadavalve/core/ident"
)

// Cause is why a prompt's context is recomputed, or not exported.
type Cause string

// The causes.
const (
	// CauseAbsent means that the store names no such context.
	CauseAbsent Cause = "absent"
	// CauseGone means that a block that the manifest names was no longer there or not the same.
	CauseGone Cause = "gone"
	// CauseSlow means that the link is expected to take longer than the prefill.
	CauseSlow Cause = "link_slow"
	// CauseBusy means that this entry's share of the link is in use.
	CauseBusy Cause = "link_busy"
	// CauseTimeout means that the transfer did not end within its deadline.
	CauseTimeout Cause = "timeout"
	// CauseStore means that the store did not answer, or answered with a fault.
	CauseStore Cause = "store_failed"
	// CauseEngine means that the engine did not carry the order out.
	CauseEngine Cause = "engine_failed"
	// CauseFull means that the store takes no more.
	CauseFull Cause = "store_full"
	// CauseNoStore means that no store is open.
	CauseNoStore Cause = "no_store"
	// CauseSmall means that the prompt has too few whole blocks.
	CauseSmall Cause = "small"
	// CauseStored means that the context is stored already.
	CauseStored Cause = "stored"
	// CauseQuarantined means that the request crashes upstreams.
	CauseQuarantined Cause = "quarantined"
	// CauseQueueFull means that too many exports wait.
	CauseQueueFull Cause = "queue_full"
	// CauseLate means that the export waited for too long, or that the engine no longer held the context.
	CauseLate Cause = "late"
	// CauseCancelled means that the request was moved or its caller left.
	CauseCancelled Cause = "cancelled"
)

// ImportCmd asks to import a request's context into its upstream before the attempt is sent.
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
	// Deadline bounds everything that the import waits for.
	Deadline time.Duration `json:"deadline"`
}

// RecomputeCmd tells that an attempt goes on without an import that it might have had.
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
	// Cause is empty where every block that the store names was held or moved.
	Cause Cause `json:"cause,omitempty"`
	// Named counts the blocks of the prompt that the manifest named, Moved those that went over the link.
	Named int   `json:"named"`
	Moved int   `json:"moved"`
	Bytes int64 `json:"bytes"`
	// Lookup is the time until the manifest was read, Took the time of the transfer.
	Lookup time.Duration `json:"lookup"`
	Took   time.Duration `json:"took"`
}

// ExportCmd asks to export a request's context from the upstream that computed it.
type ExportCmd struct {
	Request      ident.RequestID  `json:"request"`
	Org          ident.OrgID      `json:"org"`
	Model        ident.ModelName  `json:"model"`
	Version      ident.Version    `json:"version"`
	Upstream     ident.UpstreamID `json:"upstream"`
	Address      string           `json:"address"`
	Store        ident.UpstreamID `json:"store"`
	StoreAddress string           `json:"store_address"`
	// Generation begins the names of the export's blocks; no other export ever has the same.
	Generation string        `json:"generation"`
	Deadline   time.Duration `json:"deadline"`
}

// DropCmd tells that a request's context will not be exported.
type DropCmd struct {
	Request ident.RequestID `json:"request"`
	Cause   Cause           `json:"cause"`
}

// ExportedMsg ends an [ExportCmd].
type ExportedMsg struct {
	Request ident.RequestID  `json:"request"`
	Store   ident.UpstreamID `json:"store"`
	// Cause is empty, or [CauseStored], where the store holds the context.
	Cause Cause `json:"cause,omitempty"`
	// Stored counts the blocks that the manifest names now, Moved those that went over the link.
	Stored int           `json:"stored"`
	Moved  int           `json:"moved"`
	Bytes  int64         `json:"bytes"`
	Took   time.Duration `json:"took"`
}
