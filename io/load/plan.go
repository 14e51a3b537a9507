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
	// at is when the request is due, from the start of the run.
	at        time.Duration
	org       ident.OrgID
	stream    Stream
	prompt    string
	returning bool
	// key is set for a once-only call alone.
	key string
	// straight asks for the request to go to an engine past the entries.
	straight bool
}

// session is a prompt that may return.
type session struct {
	org    ident.OrgID
	stream Stream
	prompt string
}

// planner makes the same plan from the same seed.
type planner struct {
	preset   Preset
	rng      *rand.Rand
	sessions []session
}

const (
	blockBytes = 4096
	// orgSkew makes a few organisations large: the weight of the n-th is n to the power of -orgSkew.
	orgSkew = 1.2
	// returnBytes is how much a prompt has grown when it returns.
	returnBytes = 256
)

// plan lists the requests of a run in the order of their due times, which are those of a Poisson process.
func plan(p Preset, seed uint64, rate float64, length time.Duration, straightShare float64) (items []item) {
	pl := &planner{preset: p, rng: rand.New(rand.NewPCG(seed, seed))}
	at := time.Duration(0)
	for {
		at += time.Duration(pl.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return items
		}
		it := pl.next()
		it.at = at
		it.straight = it.key == "" && pl.rng.Float64() < straightShare
		items = append(items, it)
	}
}

func (pl *planner) next() item {
	if pl.rng.Float64() < pl.preset.CallShare {
		key := fmt.Sprintf("call-%016x", pl.rng.Uint64())
		return item{org: pl.org(), key: key, prompt: pl.text(64)}
	}
	if len(pl.sessions) > 0 && pl.rng.Float64() < pl.preset.ReturnShare {
		s := &pl.sessions[pl.rng.IntN(len(pl.sessions))]
		s.prompt += pl.text(returnBytes)
		return item{org: s.org, stream: s.stream, prompt: s.prompt, returning: true}
	}
	s := session{org: pl.org(), stream: pl.stream()}
	blocks := s.stream.LeastBlocks + pl.rng.IntN(s.stream.MostBlocks-s.stream.LeastBlocks+1)
	s.prompt = pl.text(blocks * blockBytes)
	pl.sessions = append(pl.sessions, s)
	return item{org: s.org, stream: s.stream, prompt: s.prompt}
}

func (pl *planner) org() ident.OrgID {
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

func (pl *planner) stream() Stream {
	at := pl.rng.Float64()
	for _, s := range pl.preset.Streams {
		at -= s.Weight
		if at < 0 {
			return s
		}
	}
	return pl.preset.Streams[0]
}

func (pl *planner) text(bytes int) string {
	var b strings.Builder
	b.Grow(bytes + 16)
	for b.Len() < bytes {
		fmt.Fprintf(&b, "%015x ", pl.rng.Uint64()>>4)
	}
	return b.String()[:bytes]
}
