// Package route chooses the upstream that runs a request.
package route

import (
	"math/rand/v2"
	"time"

	"cicadavalve/core/ident"
)

// Need describes a request to a policy.
type Need struct {
	Org   ident.OrgID
	Class ident.Class
	Zone  ident.Zone
	// Version is the weight version that the request must run on.
	Version ident.Version
	// Key is the hash of the prompt's cached context; see [Key].
	Key          uint64
	PromptTokens int
	MaxTokens    int
	// Holders lists the upstreams known to have held the prompt; unused elements are zero.
	Holders [MaxHolders]Holder
}

// MaxHolders is the number of known holders per prompt.
const MaxHolders = 2

// Holder is an upstream that has held a prefix of the prompt.
type Holder struct {
	// Hash is [HashID] of the upstream.
	Hash uint64
	// Tokens is the length of that prefix.
	Tokens int
}

// Candidate is an upstream that may take the request, as this entry sees it.
type Candidate struct {
	ID ident.UpstreamID
	// Hash is [HashID] of ID.
	Hash uint64
	Zone ident.Zone
	// Outstanding counts the requests that this entry has in flight there.
	Outstanding int
	// Others counts the other entries' requests there, as of the last load report.
	Others int
	// Backlog is the number of prompt tokens expected to be computed there before the request's.
	Backlog int
}

// Policy chooses an upstream for a request.
type Policy interface {
	// Pick returns the index of the chosen candidate; candidates is never empty.
	Pick(now time.Time, need Need, candidates []*Candidate) int
}

// Policy names as used in the settings.
const (
	NameAffinity         = "affinity"
	NameRandom           = "random"
	NameRoundRobin       = "round_robin"
	NameLeastOutstanding = "least_outstanding"
	NamePrefixHash       = "prefix_hash"
)

// New returns the named policy, or nil if the name is unknown.
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

// PrefixHash picks the candidate with the highest rendezvous weight for the organisation, version and prompt root,
// regardless of load.
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
