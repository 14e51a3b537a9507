package record

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindSegment is the kind of a record that holds a part of a journal.
const KindSegment ledger.Kind = "segment"

// StreamOf is the stream that holds an entry's journal.
func StreamOf(entry ident.EntryID) ledger.Stream { return ledger.Stream("journal/" + string(entry)) }

// Segment is a part of one incarnation's journal.
type Segment struct {
	Incarnation ident.BootID `json:"incarnation"`
	// First is the number of the first step, Count the number of steps.
	First int64 `json:"first"`
	Count int   `json:"count"`
	// Data is the steps, one JSON document a line, compressed by zstd.
	Data []byte `json:"data"`
}

// encoding takes no memory for several goroutines or for a window larger than a short segment.
var encoding = []zstd.EOption{
	zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1 << 20),
}

// NewSegment compresses lines, of which there must be at least one.
func NewSegment(incarnation ident.BootID, lines []Line) (s Segment, err error) {
	defer func() { err = errors.Wrap(err, "new segment") }()
	encoder, err := zstd.NewWriter(nil, encoding...)
	if err != nil {
		return s, err
	}
	defer func() { _ = encoder.Close() }()
	var plain bytes.Buffer
	for _, l := range lines {
		plain.Write(l.raw)
		plain.WriteByte('\n')
	}
	return Segment{incarnation, lines[0].seq, len(lines), encoder.EncodeAll(plain.Bytes(), nil)}, nil
}

// mostPlainBytes bounds what a segment may decompress to.
const mostPlainBytes = 256 << 20

// Entries decodes the steps of a segment.
func (s Segment) Entries() (entries []Entry, err error) {
	defer func() { err = errors.Wrapf(err, "segment at step %d", s.First) }()
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(mostPlainBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(s.Data, nil)
	if err != nil {
		return nil, err
	}
	lines := json.NewDecoder(bytes.NewReader(plain))
	for lines.More() {
		var e Entry
		if err := lines.Decode(&e); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
