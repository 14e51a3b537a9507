// Package ledger folds the records of the platform's log into agreed state.
//
// Agreement rests on the log's offsets alone: every entry folds the same records
// in the same order with the same pure functions.
package ledger

import (
	"encoding/json"
	"time"
)

// Stream names a sequence of records in the log with its own offsets.
type Stream string

// The streams of the system.
const (
	StreamConfig  Stream = "config"
	StreamVerdict Stream = "verdict"
	StreamRoster  Stream = "roster"
)

// Kind identifies the type of a record's body.
type Kind string

// Record is the unit that a writer appends to the log.
type Record struct {
	// ID is unique to a record and stays the same when a writer repeats an append
	// whose answer was lost; a fold uses the lowest offset of an id.
	ID     string          `json:"id"`
	Kind   Kind            `json:"kind"`
	Writer string          `json:"writer"`
	Body   json.RawMessage `json:"body"`
}

// Entry is a record at its offset.
type Entry struct {
	// Offset counts from 0 in the record's stream.
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// BatchMsg carries records of one stream in offset order.
type BatchMsg struct {
	Stream  Stream  `json:"stream"`
	Entries []Entry `json:"entries"`
	// First is the lowest offset that the log still retains.
	First int64 `json:"first"`
	// Next is the offset after the log's last record.
	Next int64 `json:"next"`
	// ReadStart is when the read began; all records in the log at that time are below Next.
	ReadStart time.Time `json:"asked"`
}

// Gap reports whether records are missing between an offset and the batch: the batch starts
// beyond it, or the log no longer retains it.
func (b BatchMsg) Gap(next int64) bool {
	return b.First > next || len(b.Entries) > 0 && b.Entries[0].Offset > next
}

// End returns the offset after the last record of the batch, or First if it is empty.
func (b BatchMsg) End() int64 {
	if len(b.Entries) == 0 {
		return b.First
	}
	return b.Entries[len(b.Entries)-1].Offset + 1
}

// NewRecord encodes a body into a record.
//
//	rec, err := ledger.NewRecord(id, ledger.KindConfig, "operator", ledger.ConfigBody{Base: 3, Text: text})
func NewRecord(id string, kind Kind, writer string, body any) (rec Record, err error) {
	raw, err := json.Marshal(body)
	return Record{ID: id, Kind: kind, Writer: writer, Body: raw}, err
}
