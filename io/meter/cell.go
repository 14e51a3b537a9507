package meter

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 2
)

// cell is one histogram, either in use or packed.
type cell struct {
	key Key
	// hot is nil while the histogram is packed in cold.
	hot  *hdrhistogram.Histogram
	cold []byte
	// place is the cell's place among the hot ones, or nil.
	place *list.Element
}

// cells holds histograms, of which only the latest used stand in memory at full size.
// A full one takes some 24 KB, a packed one some ten bytes.
type cells struct {
	most  int
	byKey map[Key]*cell
	// recent orders the hot cells by use, the latest first; its length is at most most.
	recent *list.List
	// faults counts the histograms that could not be read back.
	faults int64
}

func newCells(most int) *cells {
	return &cells{most: most, byKey: map[Key]*cell{}, recent: list.New()}
}

// use is the histogram of a key, at full size.
func (c *cells) use(k Key) *hdrhistogram.Histogram {
	one, known := c.byKey[k]
	if !known {
		one = &cell{key: k, hot: hdrhistogram.New(lowestMicros, highestMicros, digits)}
		c.byKey[k] = one
	}
	if one.hot == nil {
		one.hot = c.read(one)
		one.cold = nil
	}
	c.touch(one)
	return one.hot
}

func (c *cells) touch(one *cell) {
	if one.place != nil {
		c.recent.MoveToFront(one.place)
		return
	}
	one.place = c.recent.PushFront(one)
	if c.recent.Len() > c.most {
		c.pack(c.recent.Back().Value.(*cell))
	}
}

func (c *cells) pack(one *cell) {
	c.recent.Remove(one.place)
	one.cold, one.hot, one.place = pack(one.hot), nil, nil
}

// read unpacks a histogram at full size; the cell stays as it is.
func (c *cells) read(one *cell) *hdrhistogram.Histogram {
	h, err := unpack(one.cold)
	if err != nil {
		c.faults++
		return hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return h
}

// errPacked says that a packed histogram could not be read back.
var errPacked = errors.New("packed histogram is damaged")

// pack keeps the counts that are not zero, each with its distance from the one before.
func pack(h *hdrhistogram.Histogram) (raw []byte) {
	last := 0
	for i, n := range h.Export().Counts {
		if n == 0 {
			continue
		}
		raw = binary.AppendUvarint(raw, uint64(i-last))
		raw = binary.AppendUvarint(raw, uint64(n))
		last = i
	}
	return raw
}

// unpack is the opposite of pack.
func unpack(raw []byte) (h *hdrhistogram.Histogram, err error) {
	snapshot := hdrhistogram.New(lowestMicros, highestMicros, digits).Export()
	for at := 0; len(raw) > 0; {
		distance, used := binary.Uvarint(raw)
		n, more := binary.Uvarint(raw[max(used, 0):])
		at += int(distance)
		if used <= 0 || more <= 0 || at >= len(snapshot.Counts) {
			return nil, errPacked
		}
		snapshot.Counts[at] = int64(n)
		raw = raw[used+more:]
	}
	return hdrhistogram.Import(snapshot), nil
}

// each hands every histogram on without making it hot.
func (c *cells) each(show func(Key, *hdrhistogram.Histogram)) {
	for k, one := range c.byKey {
		if one.hot != nil {
			show(k, one.hot)
			continue
		}
		show(k, c.read(one))
	}
}
