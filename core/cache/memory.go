package cache

import (
	"time"

	"cicadavalve/core/ident"
)

// contextLocation records where the context of one prompt is held.
type contextLocation struct {
	// upstream is the one that last computed or imported the context, at heldAt.
	upstream ident.UpstreamID
	heldAt   time.Time
	// store holds the exported blocks; it is empty if none is known to.
	store  ident.UpstreamID
	blocks int
}

// contextIndex maps the context keys added last, at most capacity, to their locations.
type contextIndex struct {
	byKey map[uint64]contextLocation
	// keys is a ring buffer of the keys in the order of arrival; oldest indexes the oldest once it is full.
	keys     []uint64
	oldest   int
	capacity int
}

func newContextIndex(capacity int) *contextIndex {
	return &contextIndex{byKey: map[uint64]contextLocation{}, capacity: capacity}
}

// update applies a function to the location of a context, adding the key if it is new.
func (m *contextIndex) update(key uint64, f func(*contextLocation)) {
	p, known := m.byKey[key]
	if !known {
		m.addKey(key)
	}
	f(&p)
	m.byKey[key] = p
}

// addKey adds a new key and evicts the oldest one if the index is full.
func (m *contextIndex) addKey(key uint64) {
	if len(m.keys) < m.capacity {
		m.keys = append(m.keys, key)
		return
	}
	delete(m.byKey, m.keys[m.oldest])
	m.keys[m.oldest] = key
	m.oldest = (m.oldest + 1) % m.capacity
}
