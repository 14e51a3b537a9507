package route

import (
	"math/rand/v2"
	"time"
)

const (
	// requestTokens is the cost of a request in flight on the wait for a first token, in prompt tokens.
	requestTokens = 16
	// othersTokens is the additional cost of another entry's request, whose prompt may not be computed
	// yet.
	othersTokens = 384
	// zoneTokens is the cost of another availability zone, in prompt tokens.
	zoneTokens = 64
	// homeCreditPercent and nextCreditPercent are the parts of a prompt credited to the first and second choice of
	// the rendezvous hash: other entries may have sent the prompt there, and placing it elsewhere evicts
	// other prompts.
	homeCreditPercent = 150
	nextCreditPercent = 50
	// randomSamples is the number of upstreams drawn at random.
	randomSamples = 2
)

// Affinity picks the candidate with the shortest expected wait for the first token among a few: the first two of
// the rendezvous hash, the known holders of the prompt, and two drawn at random. The hash makes entries agree
// without communication; the random draw keeps them from overloading one upstream when the hash's choices
// are busy.
type Affinity struct{ rng *rand.Rand }

// Pick implements [Policy].
func (p *Affinity) Pick(_ time.Time, need Need, candidates []*Candidate) int {
	home, next := topTwo(need, candidates)
	best, lowest := home, need.expectedWait(candidates[home], need.PromptTokens*homeCreditPercent/100)
	consider := func(i, credit int) {
		if w := need.expectedWait(candidates[i], credit); w < lowest {
			best, lowest = i, w
		}
	}
	consider(next, need.PromptTokens*nextCreditPercent/100)
	for _, k := range need.Holders {
		if i := indexOf(candidates, k.Hash); i >= 0 {
			consider(i, 0)
		}
	}
	for range randomSamples {
		consider(p.rng.IntN(len(candidates)), 0)
	}
	return best
}

// topTwo returns the indexes of the two candidates with the highest rendezvous weight.
func topTwo(need Need, candidates []*Candidate) (home, next int) {
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

// indexOf returns the index of the candidate with a hash, or -1.
func indexOf(candidates []*Candidate, hash uint64) int {
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

// cachedTokens returns how many tokens of the prompt a candidate has held, or 0 if it is no known holder.
func (n Need) cachedTokens(c *Candidate) int {
	for _, k := range n.Holders {
		if k.Hash == c.Hash {
			return k.Tokens
		}
	}
	return 0
}

// expectedWait returns the expected wait for the first token, in prompt tokens to compute, minus the larger of
// the cached tokens and the credit.
func (n Need) expectedWait(c *Candidate, credit int) int {
	tokens := c.Backlog + n.PromptTokens - max(n.cachedTokens(c), credit)
	tokens += requestTokens*c.Outstanding + (requestTokens+othersTokens)*c.Others
	if c.Zone != n.Zone {
		tokens += zoneTokens
	}
	return tokens
}
