// Package ledger folds the records of the platform's log into agreed state.
//
// The log's offsets are the only agreement: every entry folds the same records
// in the same order with the same pure functions.
package ledger

import (
	"encoding/json"
	"time"
)

// Stream names one sequence of records in the log, with offsets of its own.
type Stream string

// The streams of the system.
const (
	StreamConfig  Stream = "config"
	StreamVerdict Stream = "verdict"
	StreamRoster  Stream = "roster"
)

// Kind says what a record's body holds.
type Kind string

// Record is what a writer appends to the log.
type Record struct {
	// ID is random and stays the same when a writer appends the record again
	// after a lost answer; a fold takes the lowest offset of an id.
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
	// First is the lowest offset that the log still keeps.
	First int64 `json:"first"`
	// Next is the offset after the last one that the log has.
	Next int64 `json:"next"`
	// Asked is when the read began; the log's records of that time are below Next.
	Asked time.Time `json:"asked"`
}

// Gap reports whether records are missing between an offset and the batch: the batch starts
// beyond it, or the log no longer keeps it.
func (b BatchMsg) Gap(next int64) bool {
	return b.First > next || len(b.Entries) > 0 && b.Entries[0].Offset > next
}

// End is the offset after the last record of the batch.
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
