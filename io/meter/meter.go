// Package meter keeps histograms per organisation and class and publishes them by expvar.
package meter

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadavalve/core/ident"
)

// Measure names what a histogram holds.
type Measure string

// The measures, all in microseconds.
const (
	FirstToken    Measure = "first_token"
	BetweenTokens Measure = "between_tokens"
	WholeAnswer   Measure = "whole_answer"
)

const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 2
)

// Key names one histogram.
type Key struct {
	Org     ident.OrgID
	Class   ident.Class
	Measure Measure
}

// Summary is a histogram as it is published; times are in milliseconds.
type Summary struct {
	Organisation ident.OrgID `json:"organisation"`
	Class        ident.Class `json:"class"`
	Measure      Measure     `json:"measure"`
	Count        int64       `json:"count"`
	P50Ms        float64     `json:"p50_ms"`
	P95Ms        float64     `json:"p95_ms"`
	P99Ms        float64     `json:"p99_ms"`
	MaxMs        float64     `json:"max_ms"`
}

// Meter holds the figures of one process.
type Meter struct {
	mu         sync.Mutex
	histograms map[Key]*hdrhistogram.Histogram
	counters   map[string]int64
}

// NewMeter is an empty meter.
func NewMeter() *Meter {
	return &Meter{histograms: map[Key]*hdrhistogram.Histogram{}, counters: map[string]int64{}}
}

// Publish shows the meter under a name at /debug/vars.
func (m *Meter) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return m.Snapshot() }))
}

// Observe adds a duration to a histogram.
func (m *Meter) Observe(k Key, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[k]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		m.histograms[k] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Count adds to a counter.
func (m *Meter) Count(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name] += n
}

// Published is what /debug/vars shows of a meter.
type Published struct {
	Counters   map[string]int64 `json:"counters"`
	Histograms []Summary        `json:"histograms"`
}

// Snapshot copies the meter's figures.
func (m *Meter) Snapshot() Published {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Published{Counters: map[string]int64{}}
	for name, n := range m.counters {
		p.Counters[name] = n
	}
	for k, h := range m.histograms {
		p.Histograms = append(p.Histograms, summarise(k, h))
	}
	return p
}

func summarise(k Key, h *hdrhistogram.Histogram) Summary {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Summary{
		Organisation: k.Org, Class: k.Class, Measure: k.Measure, Count: h.TotalCount(),
		P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99), MaxMs: float64(h.Max()) / 1000,
	}
}

// SortKey orders summaries by organisation, class and measure.
func (s Summary) SortKey() string {
	return string(s.Organisation) + "\x00" + string(s.Class) + "\x00" + string(s.Measure)
}
