// Package route chooses the upstream that runs a request.
package route

import (
	"math/rand/v2"
	"time"

	"cicadavalve/core/ident"
)

// Need is what a request asks of an upstream.
type Need struct {
	Org   ident.OrgID
	Class ident.Class
	Zone  ident.Zone
	// Version is the weight version that the request must run on.
	Version ident.Version
	// Key is the hash of the prompt's kept context; see [Key].
	Key          uint64
	PromptTokens int
	MaxTokens    int
	// Kept lists the upstreams that are known to have held the prompt; unused ones are zero.
	Kept [MostKept]Kept
}

// MostKept is how many upstreams a request can name as holders of its prompt.
const MostKept = 2

// Kept is an upstream that held a part of the prompt.
type Kept struct {
	// Hash is [HashID] of the upstream.
	Hash   uint64
	Tokens int
}

// Candidate is an upstream that may take the request, as the deciding entry sees it.
type Candidate struct {
	ID ident.UpstreamID
	// Hash is [HashID] of ID.
	Hash uint64
	Zone ident.Zone
	// Outstanding counts the requests that this entry has in flight there.
	Outstanding int
	// Others counts the requests there that are not this entry's, by the last load report.
	Others int
	// Backlog is the prompt tokens that are expected to be computed there before the request's.
	Backlog int
}

// Policy picks one of the candidates, which are never empty, by index.
type Policy interface {
	Pick(now time.Time, need Need, candidates []*Candidate) int
}

// Names of the policies, as the settings give them.
const (
	NameAffinity         = "affinity"
	NameRandom           = "random"
	NameRoundRobin       = "round_robin"
	NameLeastOutstanding = "least_outstanding"
	NamePrefixHash       = "prefix_hash"
)

// New is the named policy, or nil where the name is not known.
//
//	policy := route.New(route.NameAffinity, rand.New(rand.NewPCG(1, 2)))
func New(name string, rng *rand.Rand) Policy {
	switch name {
	case NameAffinity:
		return &Affinity{rng: rng}
	case NameRandom:
		return &Random{rng: rng}
	case NameRoundRobin:
		return &RoundRobin{}
	case NameLeastOutstanding:
		return &LeastOutstanding{rng: rng}
	case NamePrefixHash:
		return &PrefixHash{}
	}
	return nil
}

// Random picks any candidate with equal probability.
type Random struct{ rng *rand.Rand }

// Pick implements [Policy].
func (p *Random) Pick(_ time.Time, _ Need, candidates []*Candidate) int {
	return p.rng.IntN(len(candidates))
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ turn int }

// Pick implements [Policy].
func (p *RoundRobin) Pick(_ time.Time, _ Need, candidates []*Candidate) int {
	p.turn++
	return p.turn % len(candidates)
}

// LeastOutstanding picks the candidate with the fewest requests in flight from this entry.
type LeastOutstanding struct{ rng *rand.Rand }

// Pick implements [Policy].
func (p *LeastOutstanding) Pick(_ time.Time, _ Need, candidates []*Candidate) int {
	first := p.rng.IntN(len(candidates))
	best := first
	for i := range candidates {
		j := (first + i) % len(candidates)
		if candidates[j].Outstanding < candidates[best].Outstanding {
			best = j
		}
	}
	return best
}

// PrefixHash picks by rendezvous hash of organisation, version and prompt root alone.
type PrefixHash struct{}

// Pick implements [Policy].
func (*PrefixHash) Pick(_ time.Time, need Need, candidates []*Candidate) int {
	best, highest := 0, uint64(0)
	for i := range candidates {
		if w := Weight(need.Key, candidates[i].Hash); w >= highest {
			best, highest = i, w
		}
	}
	return best
}
