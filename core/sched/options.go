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

// WithZone tells the availability zone of the entry.
func WithZone(zone ident.Zone) Option {
	return func(m *Model) { m.zone = zone }
}

// WithEntry names the entry, as the writer of records.
func WithEntry(entry ident.EntryID) Option {
	return func(m *Model) { m.poison = poison.NewModel(entry) }
}

// WithPolicy names the routing policy; see [route.New]. An unknown name keeps the default.
func WithPolicy(name string) Option {
	return func(m *Model) { m.policyName = name }
}

// WithSilence sets how long a stream of a class may bring no byte.
func WithSilence(class ident.Class, limit time.Duration) Option {
	return func(m *Model) { m.silence[class] = limit }
}

// WithWait sets how long a request of a class may wait for an upstream.
func WithWait(class ident.Class, limit time.Duration) Option {
	return func(m *Model) { m.waits[class] = limit }
}

// WithFirstLimit sets by when after its arrival the first token of a class is of use.
func WithFirstLimit(class ident.Class, limit time.Duration) Option {
	return func(m *Model) { m.firstLimits[class] = limit }
}

// WithMostPerUpstream bounds the requests on one upstream, as far as the entry knows of them.
func WithMostPerUpstream(n int) Option {
	return func(m *Model) { m.mostPerUpstream = n }
}

// WithMaxAttempts sets how many times a repeatable request may be sent.
func WithMaxAttempts(n int) Option {
	return func(m *Model) { m.maxAttempts = n }
}

// WithRetryBudget sets how many attempts beyond the first each organisation earns a second and can save up.
func WithRetryBudget(perSecond float64, burst int) Option {
	return func(m *Model) { m.budgets = retry.NewBudgets(retry.WithRate(perSecond, burst)) }
}

// WithSlotTiming sets the durations that the slots of cold upstreams rest on.
func WithSlotTiming(t limit.Timing) Option {
	return func(m *Model) { m.slots = limit.NewSlots(t) }
}

const (
	defaultSeed        = 1
	defaultMaxAttempts = 4
	suspectTime        = 500 * time.Millisecond
	retryAfter         = time.Second
)

func (m *Model) setDefaults() {
	m.rng = rand.New(rand.NewPCG(defaultSeed, defaultSeed))
	m.policyName = route.NameAffinity
	m.budgets = retry.NewBudgets()
	m.poison = poison.NewModel("")
	m.slots = limit.NewSlots(limit.DefaultTiming())
	m.maxAttempts = defaultMaxAttempts
	m.waits = defaultWaits()
	m.running = map[ident.OrgID]int{}
	m.mostPerUpstream = defaultMostPerUpstream
	m.versions = servedOnly{}
	m.paces = map[poolKey]*pace{}
	m.firstLimits = defaultFirstLimits()
	m.asked = map[ident.OrgID]time.Time{}
	m.silence = map[ident.Class]time.Duration{
		ident.Interactive: 2 * time.Second,
		ident.Standard:    4 * time.Second,
		ident.Deferred:    15 * time.Second,
	}
}
