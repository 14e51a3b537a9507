package meter

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// cell is one histogram, either in use or packed.
type cell struct {
	key Key
	// hot is the histogram at full size, nil while it is packed in cold.
	hot  *hdrhistogram.Histogram
	cold []byte
	// element is the cell's element in the list of the hot cells, nil while it is packed.
	element *list.Element
}

// cells holds histograms, of which only the most recently used are in memory at full size.
// One takes about 24 KB at full size and some ten bytes when packed.
type cells struct {
	maxHot int
	byKey  map[Key]*cell
	// recent lists the hot cells, the most recently used first; it has at most maxHot elements.
	recent *list.List
	// faults counts the packed histograms that could not be decoded.
	faults int64
}

func newCells(maxHot int) *cells {
	return &cells{maxHot: maxHot, byKey: map[Key]*cell{}, recent: list.New()}
}

// get returns the histogram of a key at full size, a new one for a new key.
func (c *cells) get(k Key) *hdrhistogram.Histogram {
	entry, known := c.byKey[k]
	if !known {
		entry = &cell{key: k, hot: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
		c.byKey[k] = entry
	}
	if entry.hot == nil {
		entry.hot = c.read(entry)
		entry.cold = nil
	}
	c.touch(entry)
	return entry.hot
}

func (c *cells) touch(entry *cell) {
	if entry.element != nil {
		c.recent.MoveToFront(entry.element)
		return
	}
	entry.element = c.recent.PushFront(entry)
	if c.recent.Len() > c.maxHot {
		c.pack(c.recent.Back().Value.(*cell))
	}
}

func (c *cells) pack(entry *cell) {
	c.recent.Remove(entry.element)
	entry.cold, entry.hot, entry.element = pack(entry.hot), nil, nil
}

// read decodes a packed histogram and leaves the cell packed. It returns an empty histogram if the data is damaged.
func (c *cells) read(entry *cell) *hdrhistogram.Histogram {
	h, err := unpack(entry.cold)
	if err != nil {
		c.faults++
		return hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	return h
}

// errPacked means that a packed histogram could not be decoded.
var errPacked = errors.New("packed histogram is damaged")

// pack encodes the non-zero counts as varints, each after its distance from the previous one.
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

// unpack decodes what [pack] encoded.
func unpack(raw []byte) (h *hdrhistogram.Histogram, err error) {
	snapshot := hdrhistogram.New(minMicros, maxMicros, significantDigits).Export()
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

// each calls visit with every histogram; packed cells stay packed.
func (c *cells) each(visit func(Key, *hdrhistogram.Histogram)) {
	for k, entry := range c.byKey {
		if entry.hot != nil {
			visit(k, entry.hot)
			continue
		}
		visit(k, c.read(entry))
	}
}
