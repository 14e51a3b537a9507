// Package lane keeps the prefill of long prompts away from engines that generate other answers.
//
// An engine prefills a long prompt in chunks between the tokens of running streams, whose pauses grow meanwhile. Load reports of other entries
// are older than such a prefill lasts, so that avoiding busy engines does not help. While too many streams pause for too long, the engines of
// a service are therefore divided: a part of them, in proportion to the prefill work, takes the long prompts. The division depends on hashes
// alone, so that entries which measure different work still agree on most engines.
package lane

import (
	"math"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// lateShare is the share of streams with too long a pause from which on the engines are divided: callers lose one in ten.
	lateShare = 0.1
	// minStreams is how many streams make a share.
	minStreams = 20
	// memory is the time constant of the averages.
	memory = 10 * time.Second
	// holdTime is how long the engines stay divided after the share was last exceeded, so that the effect does not end its own cause at once.
	holdTime = time.Minute
	// planInterval is how long a division is used.
	planInterval = time.Second
	// minShare and maxShare bound the part of the engines that takes long prompts.
	minShare = 0.25
	maxShare = 0.8
	// minEngines is the number of engines of a service below which they are not divided.
	minEngines = 8
)

// pool is the state of one service. The sums decay with [memory], as of at.
type pool struct {
	// long and short are prefill work that was sent, in ns; streams and late count streams.
	long, short, streams, late float64
	at                         time.Time
	// until is the end of holdTime.
	until time.Time
	// limit divides the engines: those whose hash is at most limit take long prompts. It is 0 without a plan.
	limit     uint64
	plannedAt time.Time
}

// Model divides the engines of each service. Its methods aren't safe for concurrent use.
type Model struct {
	pools map[ident.ServiceName]*pool
}

// NewModel returns a model in which no engines are divided.
//
//	m := lane.NewModel()
//	m.ObserveStream(now, "llm", pause > objective)
//	if m.Divides(now, "llm") && m.Prefers("llm", hash, long) { ... }
func NewModel() *Model { return &Model{pools: map[ident.ServiceName]*pool{}} }

func (m *Model) pool(service ident.ServiceName) *pool {
	p, ok := m.pools[service]
	if !ok {
		p = &pool{}
		m.pools[service] = p
	}
	return p
}

func (p *pool) decay(now time.Time) {
	left := math.Exp(-max(now.Sub(p.at), 0).Seconds() / memory.Seconds())
	p.long, p.short, p.streams, p.late, p.at = p.long*left, p.short*left, p.streams*left, p.late*left, now
}

// ObserveStream records a stream that has ended, late if one of its pauses was too long.
func (m *Model) ObserveStream(now time.Time, service ident.ServiceName, late bool) {
	p := m.pool(service)
	p.decay(now)
	p.streams++
	if late {
		p.late++
	}
	if p.streams >= minStreams && p.late >= lateShare*p.streams {
		p.until = now.Add(holdTime)
	}
}

// Sent records the prefill work of a prompt that is sent to an engine.
func (m *Model) Sent(now time.Time, service ident.ServiceName, long bool, work time.Duration) {
	p := m.pool(service)
	p.decay(now)
	if long {
		p.long += float64(work)
	} else {
		p.short += float64(work)
	}
}

// Divides reports whether the engines of a service are divided now.
func (m *Model) Divides(now time.Time, service ident.ServiceName) bool {
	p, ok := m.pools[service]
	return ok && now.Before(p.until)
}

// Due reports whether [Model.Plan] is to be called.
func (m *Model) Due(now time.Time, service ident.ServiceName) bool {
	return now.Sub(m.pool(service).plannedAt) >= planInterval
}

// Plan divides the engines of a service, given by their hashes, in proportion to the prefill work. It sorts the hashes.
func (m *Model) Plan(now time.Time, service ident.ServiceName, hashes []uint64) {
	p := m.pool(service)
	p.plannedAt, p.limit = now, 0
	total := p.long + p.short
	if len(hashes) < minEngines || total == 0 {
		return
	}
	slices.Sort(hashes)
	p.limit = hashes[int(min(max(p.long/total, minShare), maxShare)*float64(len(hashes)))-1]
}

// Prefers reports whether an engine is one of those for long prompts, or for the others. All are while there is no plan.
func (m *Model) Prefers(service ident.ServiceName, hash uint64, long bool) bool {
	limit := m.pool(service).limit
	return limit == 0 || (hash <= limit) == long
}
