package sched

import (
	"math/rand/v2"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
	"cicadavalve/core/poison"
	"cicadavalve/core/retry"
	"cicadavalve/core/route"
)

// Option sets one property of a [Model].
type Option func(*Model)

// WithSeed seeds the model's random numbers.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithZone sets the availability zone of the entry.
func WithZone(zone ident.Zone) Option {
	return func(m *Model) { m.zone = zone }
}

// WithEntry sets the id under which the entry writes log records.
func WithEntry(entry ident.EntryID) Option {
	return func(m *Model) { m.poison = poison.NewModel(entry) }
}

// WithPolicy selects the routing policy by name; see [route.New]. An unknown name selects the default.
func WithPolicy(name string) Option {
	return func(m *Model) { m.policyName = name }
}

// WithSilenceTimeout sets the longest gap between bytes of a stream of a class.
func WithSilenceTimeout(class ident.Class, timeout time.Duration) Option {
	return func(m *Model) { m.silenceTimeouts[class] = timeout }
}

// WithWaitLimit sets how long a request of a class may wait for an upstream.
func WithWaitLimit(class ident.Class, limit time.Duration) Option {
	return func(m *Model) { m.waitLimits[class] = limit }
}

// WithFirstTokenLimit sets the longest useful time from arrival to first token for a class.
func WithFirstTokenLimit(class ident.Class, limit time.Duration) Option {
	return func(m *Model) { m.firstTokenLimits[class] = limit }
}

// WithMaxPerUpstream limits the requests on one upstream, counting this entry's own and those that the last load
// report adds.
func WithMaxPerUpstream(n int) Option {
	return func(m *Model) { m.maxPerUpstream = n }
}

// WithMaxAttempts sets how many times a repeatable request may be sent.
func WithMaxAttempts(n int) Option {
	return func(m *Model) { m.maxAttempts = n }
}

// WithRetryBudget sets each organisation's retry budget: how many retries it gains per second, and how many it can
// hold at most.
func WithRetryBudget(perSecond float64, burst int) Option {
	return func(m *Model) { m.budgets = retry.NewBudgets(retry.WithRate(perSecond, burst)) }
}

// WithSlotTiming sets the durations used for the slots of cold upstreams.
func WithSlotTiming(t limit.Timing) Option {
	return func(m *Model) { m.slots = limit.NewSlots(t) }
}

const (
	defaultSeed        = 1
	defaultMaxAttempts = 4
	suspectTTL         = 500 * time.Millisecond
	defaultRetryDelay  = time.Second
)

func (m *Model) setDefaults() {
	m.rng = rand.New(rand.NewPCG(defaultSeed, defaultSeed))
	m.policyName = route.NameAffinity
	m.budgets = retry.NewBudgets()
	m.poison = poison.NewModel("")
	m.slots = limit.NewSlots(limit.DefaultTiming())
	m.maxAttempts = defaultMaxAttempts
	m.waitLimits = defaultWaitLimits()
	m.running = map[ident.OrgID]int{}
	m.maxPerUpstream = defaultMaxPerUpstream
	m.versions = servedOnly{}
	m.paces = map[poolKey]*pace{}
	m.firstTokenLimits = defaultFirstTokenLimits()
	m.lastArrival = map[ident.OrgID]time.Time{}
	m.silenceTimeouts = map[ident.Class]time.Duration{
		ident.Interactive: 2 * time.Second,
		ident.Standard:    4 * time.Second,
		ident.Deferred:    15 * time.Second,
	}
}
