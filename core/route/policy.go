// Package route chooses the upstream that runs a request.
package route

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// Need is what a request asks of an upstream.
type Need struct {
	Org   ident.OrgID
	Class ident.Class
	Zone  ident.Zone
	// Version is the weight version that the request must run on.
	Version ident.Version
	// PromptRoot is the hash of the prompt's first block.
	PromptRoot   uint64
	PromptTokens int
	MaxTokens    int
}

// Candidate is an upstream that may take the request, as the deciding entry sees it.
type Candidate struct {
	ID   ident.UpstreamID
	Zone ident.Zone
	// Outstanding counts the requests that this entry has in flight there.
	Outstanding int
	// Reported counts the requests that the upstream's last load report told of, running and waiting.
	Reported int
	// CachedTokens is how much of the prompt the upstream is expected to hold.
	CachedTokens int
}

// load is the candidate's number of requests as far as the entry knows.
func (c *Candidate) load() int { return max(c.Outstanding, c.Reported) }

// Policy picks one of the candidates, which are never empty, by index.
type Policy interface {
	Pick(now time.Time, need Need, candidates []Candidate) int
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
func (p *Random) Pick(_ time.Time, _ Need, candidates []Candidate) int {
	return p.rng.IntN(len(candidates))
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ turn int }

// Pick implements [Policy].
func (p *RoundRobin) Pick(_ time.Time, _ Need, candidates []Candidate) int {
	p.turn++
	return p.turn % len(candidates)
}

// LeastOutstanding picks the candidate with the fewest requests in flight from this entry.
type LeastOutstanding struct{ rng *rand.Rand }

// Pick implements [Policy].
func (p *LeastOutstanding) Pick(_ time.Time, _ Need, candidates []Candidate) int {
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
func (*PrefixHash) Pick(_ time.Time, need Need, candidates []Candidate) int {
	best, highest := 0, uint64(0)
	for i := range candidates {
		if w := Weight(need, candidates[i].ID); w >= highest {
			best, highest = i, w
		}
	}
	return best
}

// Weight is the rendezvous weight of an upstream for a request's kept context.
func Weight(need Need, upstream ident.UpstreamID) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{string(need.Org), string(need.Version), string(upstream)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	var root [20]byte
	_, _ = d.Write(strconv.AppendUint(root[:0], need.PromptRoot, 36))
	return d.Sum64()
}

// loadFactor bounds how far above the mean load the preferred upstream may be.
const loadFactor = 1.25

// Affinity picks by rendezvous hash among the candidates whose load is within a bound of the mean.
type Affinity struct{ rng *rand.Rand }

// Pick implements [Policy].
func (p *Affinity) Pick(_ time.Time, need Need, candidates []Candidate) int {
	total := 0
	for i := range candidates {
		total += candidates[i].load()
	}
	bound := loadFactor*float64(total+1)/float64(len(candidates)) + 1
	best, highest := -1, uint64(0)
	for i := range candidates {
		if float64(candidates[i].load()) >= bound {
			continue
		}
		if w := Weight(need, candidates[i].ID); best < 0 || w > highest {
			best, highest = i, w
		}
	}
	if best < 0 {
		return p.rng.IntN(len(candidates))
	}
	return best
}
