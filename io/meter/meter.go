// Package meter keeps counters, and histograms per organisation and class, and publishes them with expvar.
package meter

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadavalve/core/ident"
)

// Measure is the quantity that a histogram measures.
type Measure string

// The measures, all in microseconds.
const (
	FirstToken    Measure = "first_token"
	BetweenTokens Measure = "between_tokens"
	WholeAnswer   Measure = "whole_answer"
)

// Key identifies a histogram.
type Key struct {
	Org     ident.OrgID
	Class   ident.Class
	Measure Measure
}

// Summary is the published form of a histogram; times are in milliseconds.
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

// maxHotHistograms is the maximum number of histograms that are in memory at full size.
const maxHotHistograms = 128

// Meter holds the metrics of one process. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	cells    *cells
	counters map[string]int64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	return &Meter{cells: newCells(maxHotHistograms), counters: map[string]int64{}}
}

// Publish publishes the meter under a name at /debug/vars.
func (m *Meter) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return m.Snapshot() }))
}

// Observe records durations in a histogram. Durations above ten minutes are recorded as ten minutes.
func (m *Meter) Observe(k Key, durations ...time.Duration) {
	if len(durations) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.cells.get(k)
	for _, d := range durations {
		_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
	}
}

// Count adds to a counter.
func (m *Meter) Count(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name] += n
}

// Published is the form of a meter at /debug/vars.
type Published struct {
	Counters   map[string]int64 `json:"counters"`
	Histograms []Summary        `json:"histograms"`
}

// Snapshot returns a copy of the counters and summaries of the histograms.
func (m *Meter) Snapshot() Published {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Published{Counters: map[string]int64{}}
	for name, n := range m.counters {
		p.Counters[name] = n
	}
	m.cells.each(func(k Key, h *hdrhistogram.Histogram) {
		p.Histograms = append(p.Histograms, summarise(k, h))
	})
	p.Counters["histogram_faults"] = m.cells.faults
	return p
}

func summarise(k Key, h *hdrhistogram.Histogram) Summary {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Summary{
		Organisation: k.Org, Class: k.Class, Measure: k.Measure, Count: h.TotalCount(),
		P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99), MaxMs: float64(h.Max()) / 1000,
	}
}

// SortKey returns a key that sorts summaries by organisation, class and measure.
func (s Summary) SortKey() string {
	return string(s.Organisation) + "\x00" + string(s.Class) + "\x00" + string(s.Measure)
}
