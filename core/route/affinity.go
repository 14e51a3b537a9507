package route

import (
	"math/rand/v2"
	"time"
)

const (
	// loadTokens is what a request in flight adds to the wait for a first token, in prompt tokens.
	loadTokens = 16
	// othersTokens is what a request of another entry adds besides, for the prompt that it may
	// still have to compute.
	othersTokens = 384
	// zoneTokens is what another availability zone adds.
	zoneTokens = 64
	// homePercent and nextPercent are how much of a prompt the first and the second choice of the
	// rendezvous hash are credited with, since other entries may have sent it there and since a
	// prompt that goes elsewhere takes room from others.
	homePercent = 150
	nextPercent = 50
	// samples is how many upstreams are drawn besides.
	samples = 2
)

// Affinity picks the least expected wait for the first token out of a few: the first two of the
// rendezvous hash, those known to hold the prompt, and two drawn at random. The hash makes
// entries agree without talking; the draw keeps them from crowding on one upstream when the
// hash's own are busy.
type Affinity struct{ rng *rand.Rand }

// Pick implements [Policy].
func (p *Affinity) Pick(_ time.Time, need Need, candidates []*Candidate) int {
	home, next := ranked(need, candidates)
	best, least := home, need.wait(candidates[home], need.PromptTokens*homePercent/100)
	consider := func(i, credit int) {
		if w := need.wait(candidates[i], credit); w < least {
			best, least = i, w
		}
	}
	consider(next, need.PromptTokens*nextPercent/100)
	for _, k := range need.Kept {
		if i := find(candidates, k.Hash); i >= 0 {
			consider(i, 0)
		}
	}
	for range samples {
		consider(p.rng.IntN(len(candidates)), 0)
	}
	return best
}

// ranked finds the first two candidates of the rendezvous hash.
func ranked(need Need, candidates []*Candidate) (home, next int) {
	var first, second uint64
	for i, c := range candidates {
		w := Weight(need.Key, c.Hash)
		switch {
		case w >= first:
			home, next, first, second = i, home, w, first
		case w >= second:
			next, second = i, w
		}
	}
	return home, next
}

// find is the index of the candidate with a hash, or -1.
func find(candidates []*Candidate, hash uint64) int {
	if hash == 0 {
		return -1
	}
	for i, c := range candidates {
		if c.Hash == hash {
			return i
		}
	}
	return -1
}

// cached is how much of the prompt a candidate is known to have held.
func (n Need) cached(c *Candidate) int {
	for _, k := range n.Kept {
		if k.Hash == c.Hash {
			return k.Tokens
		}
	}
	return 0
}

// wait is the expected time to the first token, in prompt tokens to be computed, less what the
// upstream is credited with.
func (n Need) wait(c *Candidate, credit int) int {
	wait := c.Backlog + n.PromptTokens - max(n.cached(c), credit)
	wait += loadTokens*c.Outstanding + (loadTokens+othersTokens)*c.Others
	if c.Zone != n.Zone {
		wait += zoneTokens
	}
	return wait
}
