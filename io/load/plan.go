package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"cicadavalve/core/ident"
)

// item is one planned request.
type item struct {
	// dueAfter is the time from the start of the run to when the request is due.
	dueAfter  time.Duration
	org       ident.OrgID
	stream    Stream
	prompt    string
	returning bool
	// key is the idempotency key of a once-only call; empty for a completion.
	key string
	// direct sends the request directly to an engine, bypassing the entries.
	direct bool
}

// session is a prompt that may be sent again, extended, by a later request.
type session struct {
	org    ident.OrgID
	stream Stream
	prompt string
}

// planner generates requests; the same seed gives the same requests.
type planner struct {
	preset   Preset
	rng      *rand.Rand
	sessions []session
}

const (
	blockBytes = 4096
	// orgSkew is the exponent of the Zipf distribution of requests over organisations: the n-th has weight n^-orgSkew.
	orgSkew = 1.2
	// growthBytes is the number of bytes added to a prompt when it returns.
	growthBytes = 256
)

// plan returns the requests of a run, ordered by due time. Arrivals form a Poisson process of the given rate per
// second.
func plan(p Preset, seed uint64, rate float64, duration time.Duration, directShare float64) (items []item) {
	pl := &planner{preset: p, rng: rand.New(rand.NewPCG(seed, seed))}
	at := time.Duration(0)
	for {
		at += time.Duration(pl.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return items
		}
		it := pl.nextItem()
		it.dueAfter = at
		it.direct = it.key == "" && pl.rng.Float64() < directShare
		items = append(items, it)
	}
}

func (pl *planner) nextItem() item {
	if pl.rng.Float64() < pl.preset.CallShare {
		key := fmt.Sprintf("call-%016x", pl.rng.Uint64())
		return item{org: pl.pickOrg(), key: key, prompt: pl.randomText(64)}
	}
	if len(pl.sessions) > 0 && pl.rng.Float64() < pl.preset.ReturnShare {
		s := &pl.sessions[pl.rng.IntN(len(pl.sessions))]
		s.prompt += pl.randomText(growthBytes)
		return item{org: s.org, stream: s.stream, prompt: s.prompt, returning: true}
	}
	s := session{org: pl.pickOrg(), stream: pl.pickStream()}
	blocks := s.stream.MinBlocks + pl.rng.IntN(s.stream.MaxBlocks-s.stream.MinBlocks+1)
	s.prompt = pl.randomText(blocks * blockBytes)
	pl.sessions = append(pl.sessions, s)
	return item{org: s.org, stream: s.stream, prompt: s.prompt}
}

func (pl *planner) pickOrg() ident.OrgID {
	total := 0.0
	for i := range pl.preset.Orgs {
		total += math.Pow(float64(i+1), -orgSkew)
	}
	at := pl.rng.Float64() * total
	for i, o := range pl.preset.Orgs {
		at -= math.Pow(float64(i+1), -orgSkew)
		if at < 0 {
			return o
		}
	}
	return pl.preset.Orgs[0]
}

func (pl *planner) pickStream() Stream {
	at := pl.rng.Float64()
	for _, s := range pl.preset.Streams {
		at -= s.Weight
		if at < 0 {
			return s
		}
	}
	return pl.preset.Streams[0]
}

func (pl *planner) randomText(bytes int) string {
	var b strings.Builder
	b.Grow(bytes + 16)
	for b.Len() < bytes {
		fmt.Fprintf(&b, "%015x ", pl.rng.Uint64()>>4)
	}
	return b.String()[:bytes]
}
