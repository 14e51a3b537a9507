package sched

import (
	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// mostKept bounds the prompts that are remembered.
const mostKept = 1 << 16

// place is an upstream that computed a prompt. It counts only as long as the upstream
// reports the same boot, and is a hint even then: caches drop blocks without a word.
type place struct {
	upstream ident.UpstreamID
	boot     ident.BootID
	tokens   int
}

// kept remembers where this entry's prompts were computed last.
type kept struct {
	byKey map[uint64][route.MaxHolders]place
	// ring holds the keys in the order that they came; at is the oldest once it is full.
	ring []uint64
	at   int
}

func newKept() *kept { return &kept{byKey: map[uint64][route.MaxHolders]place{}} }

// add remembers an upstream in front of the one before.
func (k *kept) add(key uint64, u *upstream, tokens int) {
	places, known := k.byKey[key]
	if !known {
		k.makeRoom(key)
	}
	if places[0].upstream != u.listed.ID {
		places[1] = places[0]
	}
	places[0] = place{u.listed.ID, u.load.BootID, tokens}
	k.byKey[key] = places
}

// makeRoom forgets the oldest key in favour of a new one.
func (k *kept) makeRoom(key uint64) {
	if len(k.ring) < mostKept {
		k.ring = append(k.ring, key)
		return
	}
	delete(k.byKey, k.ring[k.at])
	k.ring[k.at] = key
	k.at = (k.at + 1) % mostKept
}

// tokens is how much of a prompt an upstream is expected to hold.
func (k *kept) tokens(key uint64, u *upstream) int {
	for _, p := range k.byKey[key] {
		if p.upstream == u.listed.ID && p.boot == u.load.BootID {
			return p.tokens
		}
	}
	return 0
}
