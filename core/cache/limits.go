package cache

import "time"

// Limits bound the use of the stores; they are the same on all entries.
type Limits struct {
	// Off keeps the entry from using any store.
	Off bool `json:"off,omitempty"`
	// ImportDeadline bounds what a request waits for an import, ExportDeadline one export.
	ImportDeadline time.Duration `json:"import_deadline,omitempty"`
	ExportDeadline time.Duration `json:"export_deadline,omitempty"`
	// LinkTransfers bounds the transfers at once over a store's link, of all entries together.
	LinkTransfers int `json:"link_transfers,omitempty"`
	// LinkRate is the rate of a store's link, in bytes a second, where no transfer has told it.
	LinkRate float64 `json:"link_rate,omitempty"`
	// LeastTokens is the least prompt that is exported or imported.
	LeastTokens int `json:"least_tokens,omitempty"`
	// MostQueued bounds the exports that wait.
	MostQueued int `json:"most_queued,omitempty"`
	// AssumeHeld is how long an upstream is taken to hold a prompt that it has just computed.
	AssumeHeld time.Duration `json:"assume_held,omitempty"`
}

// DefaultLimits are the limits of an entry whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		ImportDeadline: 500 * time.Millisecond, ExportDeadline: 5 * time.Second, LinkTransfers: 16,
		LinkRate: 64 << 20, LeastTokens: BlockTokens, MostQueued: 64, AssumeHeld: time.Second,
	}
}

// orDefaults puts the default in place of each limit that is 0, except AssumeHeld.
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
	l.LeastTokens = max(l.LeastTokens, BlockTokens)
	if l.MostQueued <= 0 {
		l.MostQueued = d.MostQueued
	}
	return l
}

const (
	// BlockTokens is the size of a block of context, in tokens.
	BlockTokens = 1024
	// firstBlockBytes is the size of a block on the link where no transfer has told it.
	firstBlockBytes = 64 << 10
	// firstPrefillRate is the prompt tokens a second where no attempt has told them.
	firstPrefillRate = 10000
	// storePause keeps transfers away from a store that failed, and exports from one that is full.
	storePause = 2 * time.Second
	// rateMemory is how long the observed rate of a link counts.
	rateMemory = 10 * time.Second
	// mostQueueAge is how long an export may wait; engines evict what is older.
	mostQueueAge = 10 * time.Second
	// overdueMargin is how long after its deadline a transfer without an end is forgotten.
	overdueMargin = time.Second
	// mostRemembered bounds the prompts whose place is remembered.
	mostRemembered = 1 << 16
)
