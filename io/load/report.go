package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadavalve/core/ident"
)

// Quantiles are of one histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Group is what one organisation and class saw.
type Group struct {
	Organisation  ident.OrgID `json:"organisation"`
	Class         ident.Class `json:"class"`
	FirstToken    Quantiles   `json:"first_token"`
	BetweenTokens Quantiles   `json:"between_tokens"`
}

// ClassGroup is what one class saw over all organisations.
type ClassGroup struct {
	Class         ident.Class `json:"class"`
	FirstToken    Quantiles   `json:"first_token"`
	BetweenTokens Quantiles   `json:"between_tokens"`
}

// Report is the outcome of a run.
type Report struct {
	Preset    string `json:"preset"`
	Seed      uint64 `json:"seed"`
	ElapsedMs int64  `json:"elapsed_ms"`
	Requests  int    `json:"requests"`
	Whole     int    `json:"whole"`
	// InTime counts the whole answers whose first token met the target of their class; see [WithFirstTokenTarget].
	InTime        int `json:"in_time"`
	Failed        int `json:"failed"`
	RefusedNotRun int `json:"refused_not_run"`
	// Comebacks counts the completions that were refused as not run and sent again when told to.
	Comebacks     int     `json:"comebacks"`
	CallsSent     int     `json:"calls_sent"`
	CallsWhole    int     `json:"calls_whole"`
	CallsUnknown  int     `json:"calls_unknown"`
	CallsRun      int     `json:"calls_run"`
	DuplicateRuns int     `json:"duplicate_runs"`
	FalseNotRun   int     `json:"false_not_run"`
	TTFTP50Ms     float64 `json:"ttft_p50_ms"`
	TTFTP95Ms     float64 `json:"ttft_p95_ms"`
	// StraightP50Ms and StraightP95Ms are first-token times of requests that passed no entry.
	StraightP50Ms   float64        `json:"straight_p50_ms,omitempty"`
	StraightP95Ms   float64        `json:"straight_p95_ms,omitempty"`
	RecomputedShare float64        `json:"recomputed_share"`
	LinkBytes       int64          `json:"link_bytes"`
	Codes           map[string]int `json:"codes"`
	Classes         []ClassGroup   `json:"classes"`
	Groups          []Group        `json:"groups"`
	Origins         []OriginGroup  `json:"origins"`

	mu     sync.Mutex
	preset Preset
	// targets bound the first token of the answers that count as in time.
	targets map[ident.Class]time.Duration
	// first and gaps hold the times of each organisation and class, in microseconds.
	first    map[groupKey]*hdrhistogram.Histogram
	gaps     map[groupKey]*hdrhistogram.Histogram
	origins  map[originKey]*hdrhistogram.Histogram
	straight *hdrhistogram.Histogram
	prompt   int64
	cached   int64
	// notRunKeys are the calls whose last answer said that they have not run.
	notRunKeys []string
}

type groupKey struct {
	org   ident.OrgID
	class ident.Class
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func newReport(p Preset, seed uint64) *Report {
	return &Report{
		Preset: p.Name, Seed: seed, Codes: map[string]int{}, preset: p,
		first: map[groupKey]*hdrhistogram.Histogram{}, gaps: map[groupKey]*hdrhistogram.Histogram{},
		straight: newHistogram(), origins: map[originKey]*hdrhistogram.Histogram{},
	}
}

// NotRunKeys are the keys of the calls that the callers were told have not run.
func (r *Report) NotRunKeys() []string { return r.notRunKeys }

// inTime reports whether a whole answer met the target of its class.
func (r *Report) inTime(o outcome) bool {
	target, bounded := r.targets[o.item.stream.Class]
	return o.whole && (o.item.key != "" || !bounded || o.first <= target)
}

func (r *Report) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	if r.inTime(o) {
		r.InTime++
	}
	if o.item.key == "" {
		r.Comebacks += o.retries
	}
	if o.item.key != "" {
		r.addCall(o)
	}
	switch {
	case o.whole:
		r.Whole++
	case o.notRun:
		r.RefusedNotRun++
	default:
		r.Failed++
	}
	if o.code != "" {
		r.Codes[o.code]++
	}
	if o.whole && o.item.key == "" {
		r.addTimes(o)
	}
}

func (r *Report) addCall(o outcome) {
	r.CallsSent++
	switch {
	case o.whole:
		r.CallsWhole++
	case o.notRun:
		r.notRunKeys = append(r.notRunKeys, o.item.key)
	case o.unknown:
		r.CallsUnknown++
	}
}

func (r *Report) addTimes(o outcome) {
	if o.item.straight {
		_ = r.straight.RecordValue(o.first.Microseconds())
		return
	}
	k := groupKey{o.item.org, o.item.stream.Class}
	if r.first[k] == nil {
		r.first[k], r.gaps[k] = newHistogram(), newHistogram()
	}
	_ = r.first[k].RecordValue(o.first.Microseconds())
	r.addOrigin(o)
	for _, g := range o.gaps {
		_ = r.gaps[k].RecordValue(g.Microseconds())
	}
	r.prompt += int64(o.prompt)
	r.cached += int64(o.cached)
}

// close works the histograms out into figures.
func (r *Report) close(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ElapsedMs = elapsed.Milliseconds()
	all := newHistogram()
	for _, class := range ident.Classes() {
		first, gaps := newHistogram(), newHistogram()
		for _, org := range r.preset.Orgs {
			k := groupKey{org, class}
			if r.first[k] == nil {
				continue
			}
			first.Merge(r.first[k])
			gaps.Merge(r.gaps[k])
			r.Groups = append(r.Groups, Group{org, class, quantiles(r.first[k]), quantiles(r.gaps[k])})
		}
		if first.TotalCount() > 0 {
			r.Classes = append(r.Classes, ClassGroup{class, quantiles(first), quantiles(gaps)})
		}
		all.Merge(first)
	}
	r.closeOrigins()
	q, s := quantiles(all), quantiles(r.straight)
	r.TTFTP50Ms, r.TTFTP95Ms = q.P50Ms, q.P95Ms
	r.StraightP50Ms, r.StraightP95Ms = s.P50Ms, s.P95Ms
	if r.prompt > 0 {
		r.RecomputedShare = 1 - float64(r.cached)/float64(r.prompt)
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{h.TotalCount(), ms(50), ms(95), ms(99), float64(h.Max()) / 1000}
}
