package record

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// KindSegment is the kind of a log record that holds a segment.
const KindSegment ledger.Kind = "segment"

// StreamOf returns the stream that holds the journal of an entry.
func StreamOf(entry ident.EntryID) ledger.Stream { return ledger.Stream("journal/" + string(entry)) }

// Segment is a part of one incarnation's journal.
type Segment struct {
	Incarnation ident.BootID `json:"incarnation"`
	// First is the number of the first step, Count the number of steps.
	First int64 `json:"first"`
	Count int   `json:"count"`
	// Data holds the steps as one JSON document per line, compressed with zstd.
	Data []byte `json:"data"`
}

// encoderOptions avoids memory for several goroutines and for a window larger than a short segment.
var encoderOptions = []zstd.EOption{
	zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1 << 20),
}

// NewSegment compresses lines into a segment; there must be at least one line.
func NewSegment(incarnation ident.BootID, lines []Line) (s Segment, err error) {
	defer func() { err = errors.Wrap(err, "new segment") }()
	encoder, err := zstd.NewWriter(nil, encoderOptions...)
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

// maxPlainBytes limits the decompressed size of a segment.
const maxPlainBytes = 256 << 20

// Entries returns the decoded steps of the segment.
func (s Segment) Entries() (entries []Entry, err error) {
	defer func() { err = errors.Wrapf(err, "segment at step %d", s.First) }()
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPlainBytes))
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
