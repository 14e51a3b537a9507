package cache

import (
	"time"

	"cicadavalve/core/ident"
)

// place is what this entry knows of one prompt's context.
type place struct {
	// upstream computed or imported it last, at.
	upstream ident.UpstreamID
	at       time.Time
	// store holds the blocks that were exported; it is empty where none is known.
	store  ident.UpstreamID
	blocks int
}

// memory remembers the prompts seen last; it holds at most mostRemembered.
type memory struct {
	byKey map[uint64]place
	// ring holds the keys in the order that they came; at is the oldest once it is full.
	ring []uint64
	at   int
	most int
}

func newMemory(most int) *memory { return &memory{byKey: map[uint64]place{}, most: most} }

// change applies a function to what is known of a prompt.
func (m *memory) change(key uint64, f func(*place)) {
	p, known := m.byKey[key]
	if !known {
		m.makeRoom(key)
	}
	f(&p)
	m.byKey[key] = p
}

// makeRoom forgets the oldest key in favour of a new one.
func (m *memory) makeRoom(key uint64) {
	if len(m.ring) < m.most {
		m.ring = append(m.ring, key)
		return
	}
	delete(m.byKey, m.ring[m.at])
	m.ring[m.at] = key
	m.at = (m.at + 1) % m.most
}
