package cache

import "time"

// Limits bound the use of the stores; they are the same on all entries.
type Limits struct {
	// Off disables the use of stores.
	Off bool `json:"off,omitempty"`
	// ImportDeadline bounds how long a request waits for an import, ExportDeadline how long an export may take.
	ImportDeadline time.Duration `json:"import_deadline,omitempty"`
	ExportDeadline time.Duration `json:"export_deadline,omitempty"`
	// LinkTransfers bounds the concurrent transfers over a store's link, of all entries together.
	LinkTransfers int `json:"link_transfers,omitempty"`
	// LinkRate is the rate assumed for a store's link before one was observed, in bytes a second.
	LinkRate float64 `json:"link_rate,omitempty"`
	// MinTokens is the minimum size of a prompt that is exported or imported, in tokens.
	MinTokens int `json:"least_tokens,omitempty"`
	// MaxQueued bounds the waiting exports.
	MaxQueued int `json:"most_queued,omitempty"`
	// HeldTTL is how long after an upstream computed or imported a prompt it is assumed to hold it.
	HeldTTL time.Duration `json:"assume_held,omitempty"`
}

// DefaultLimits returns the limits that apply unless the settings override them.
func DefaultLimits() Limits {
	return Limits{
		ImportDeadline: 500 * time.Millisecond, ExportDeadline: 5 * time.Second, LinkTransfers: 16,
		LinkRate: 64 << 20, MinTokens: BlockTokens, MaxQueued: 64, HeldTTL: time.Second,
	}
}

// orDefaults replaces each limit that is not positive by its default, except
// [Limits.HeldTTL], where 0 is valid. [Limits.MinTokens] is raised to at least one block.
func (l Limits) orDefaults() Limits {
	d := DefaultLimits()
	if l.ImportDeadline <= 0 {
		l.ImportDeadline = d.ImportDeadline
	}
	if l.ExportDeadline <= 0 {
		l.ExportDeadline = d.ExportDeadline
	}
	if l.LinkTransfers <= 0 {
		l.LinkTransfers = d.LinkTransfers
	}
	if l.LinkRate <= 0 {
		l.LinkRate = d.LinkRate
	}
	l.MinTokens = max(l.MinTokens, BlockTokens)
	if l.MaxQueued <= 0 {
		l.MaxQueued = d.MaxQueued
	}
	return l
}

const (
	// BlockTokens is the size of a block of context, in tokens.
	BlockTokens = 1024
	// initialBlockBytes is the size assumed for a block on a link before one was observed.
	initialBlockBytes = 64 << 10
	// initialPrefillRate is assumed for a model before one was observed, in prompt tokens a second.
	initialPrefillRate = 10000
	// storePauseInterval is how long a store that failed gets no transfers, and one that is full no exports.
	storePauseInterval = 2 * time.Second
	// rateTTL is how long the observed rate of a link remains valid.
	rateTTL = 10 * time.Second
	// maxQueueAge is how long an export may wait; engines evict what is older.
	maxQueueAge = 10 * time.Second
	// transferEndMargin is how long after its deadline a transfer without a reported end counts as ended.
	transferEndMargin = time.Second
	// maxContexts bounds the contexts whose location is stored.
	maxContexts = 1 << 16
)
