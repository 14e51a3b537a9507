package relay

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ownBuffer is how much of an answer each exchange may hold back without a share of the common memory, in bytes.
const ownBuffer = 16 << 10

// Errors of a buffer that can't grow.
var (
	errNoMemory = errors.New("no memory left for the answer")
	errFull     = errors.New("answer exceeds what may be held back")
)

// memory is a number of bytes that exchanges share. It is safe for concurrent use.
type memory struct {
	used atomic.Int64
	max  int64
}

// take takes n bytes and reports whether they were left.
func (m *memory) take(n int64) (ok bool) {
	if m.used.Add(n) > m.max {
		m.used.Add(-n)
		return false
	}
	return true
}

// give returns n bytes.
func (m *memory) give(n int64) { m.used.Add(-n) }

// buffer holds back the start of an answer. What exceeds ownBuffer is taken from a memory.
//
//	b := buffer{memory: m}
//	defer b.release()
//	n, err := b.readFrom(answer, maxBuffered)
type buffer struct {
	memory *memory
	// taken is the part of the capacity of data that was taken from the memory.
	taken int64
	data  []byte
}

// readFrom makes one read, so that at most limit bytes are held. It returns errFull or errNoMemory if there is no room.
func (b *buffer) readFrom(r io.Reader, limit int) (n int, err error) {
	if len(b.data) == cap(b.data) {
		if err := b.grow(limit); err != nil {
			return 0, err
		}
	}
	n, err = r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return n, err
}

// grow doubles the capacity.
func (b *buffer) grow(limit int) (err error) {
	size := min(max(2*cap(b.data), streamBuffer), limit)
	if size <= cap(b.data) {
		return errFull
	}
	if missing := int64(size) - ownBuffer - b.taken; missing > 0 {
		if !b.memory.take(missing) {
			return errNoMemory
		}
		b.taken += missing
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// drop removes the first n bytes. A long buffer that is empty then is given up.
func (b *buffer) drop(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
	if len(b.data) == 0 && b.taken > 0 {
		b.release()
	}
}

// release empties the buffer and returns its memory.
func (b *buffer) release() {
	b.memory.give(b.taken)
	b.taken, b.data = 0, nil
}
