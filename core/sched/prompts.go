package sched

import (
	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// maxPrompts limits the prompts in a promptIndex.
const maxPrompts = 1 << 16

// promptHolder is an upstream that computed a prompt. It is valid only while the upstream reports the same
// boot, and only a hint even then: caches evict blocks without notice.
type promptHolder struct {
	upstream ident.UpstreamID
	boot     ident.BootID
	tokens   int
}

// promptIndex records where this entry's prompts were last computed.
type promptIndex struct {
	byKey map[uint64][route.MaxHolders]promptHolder
	// ring holds the keys in order of insertion; oldest indexes the next to evict once it is full.
	ring   []uint64
	oldest int
}

func newPromptIndex() *promptIndex {
	return &promptIndex{byKey: map[uint64][route.MaxHolders]promptHolder{}}
}

// add records an upstream as the latest holder and keeps the previous one as the second.
func (k *promptIndex) add(key uint64, u *upstream, tokens int) {
	holders, known := k.byKey[key]
	if !known {
		k.insertKey(key)
	}
	if holders[0].upstream != u.listed.ID {
		holders[1] = holders[0]
	}
	holders[0] = promptHolder{u.listed.ID, u.load.BootID, tokens}
	k.byKey[key] = holders
}

// insertKey adds a key to the ring and evicts the oldest if it is full.
func (k *promptIndex) insertKey(key uint64) {
	if len(k.ring) < maxPrompts {
		k.ring = append(k.ring, key)
		return
	}
	delete(k.byKey, k.ring[k.oldest])
	k.ring[k.oldest] = key
	k.oldest = (k.oldest + 1) % maxPrompts
}

// cachedTokens returns how many tokens of a prompt an upstream is expected to have cached.
func (k *promptIndex) cachedTokens(key uint64, u *upstream) int {
	for _, p := range k.byKey[key] {
		if p.upstream == u.listed.ID && p.boot == u.load.BootID {
			return p.tokens
		}
	}
	return 0
}
