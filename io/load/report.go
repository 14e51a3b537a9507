package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadavalve/core/ident"
)

// Quantiles summarises a histogram of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Group has the token times of one organisation and class.
type Group struct {
	Organisation  ident.OrgID `json:"organisation"`
	Class         ident.Class `json:"class"`
	FirstToken    Quantiles   `json:"first_token"`
	BetweenTokens Quantiles   `json:"between_tokens"`
}

// ClassGroup has the token times of one class over all organisations.
type ClassGroup struct {
	Class         ident.Class `json:"class"`
	FirstToken    Quantiles   `json:"first_token"`
	BetweenTokens Quantiles   `json:"between_tokens"`
}

// Report is the result of a run.
type Report struct {
	Preset    string `json:"preset"`
	Seed      uint64 `json:"seed"`
	ElapsedMs int64  `json:"elapsed_ms"`
	Requests  int    `json:"requests"`
	Whole     int    `json:"whole"`
	// InTime is the number of correct answers whose first token met the target of their class; see
	// [WithFirstTokenTarget].
	InTime        int `json:"in_time"`
	Failed        int `json:"failed"`
	RefusedNotRun int `json:"refused_not_run"`
	// Retries is the number of retries of completions that were refused as not run.
	Retries       int     `json:"comebacks"`
	CallsSent     int     `json:"calls_sent"`
	CallsWhole    int     `json:"calls_whole"`
	CallsUnknown  int     `json:"calls_unknown"`
	CallsRun      int     `json:"calls_run"`
	DuplicateRuns int     `json:"duplicate_runs"`
	FalseNotRun   int     `json:"false_not_run"`
	TTFTP50Ms     float64 `json:"ttft_p50_ms"`
	TTFTP95Ms     float64 `json:"ttft_p95_ms"`
	// DirectP50Ms and DirectP95Ms are times to first token of requests sent directly to engines.
	DirectP50Ms     float64        `json:"straight_p50_ms,omitempty"`
	DirectP95Ms     float64        `json:"straight_p95_ms,omitempty"`
	RecomputedShare float64        `json:"recomputed_share"`
	LinkBytes       int64          `json:"link_bytes"`
	Codes           map[string]int `json:"codes"`
	Classes         []ClassGroup   `json:"classes"`
	Groups          []Group        `json:"groups"`
	Origins         []OriginGroup  `json:"origins"`

	mu     sync.Mutex
	preset Preset
	// targets holds the maximum time to first token for an answer to count as in time, by class.
	targets map[ident.Class]time.Duration
	// firstToken and tokenGaps hold the times of each organisation and class, in microseconds.
	firstToken   map[groupKey]*hdrhistogram.Histogram
	tokenGaps    map[groupKey]*hdrhistogram.Histogram
	origins      map[originKey]*hdrhistogram.Histogram
	direct       *hdrhistogram.Histogram
	promptTokens int64
	cachedTokens int64
	// notRunKeys holds the keys of the calls whose last answer was that they have not run.
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
		firstToken: map[groupKey]*hdrhistogram.Histogram{}, tokenGaps: map[groupKey]*hdrhistogram.Histogram{},
		direct: newHistogram(), origins: map[originKey]*hdrhistogram.Histogram{},
	}
}

// NotRunKeys returns the keys of the calls that were finally refused as not run.
func (r *Report) NotRunKeys() []string { return r.notRunKeys }

// inTime reports whether an answer is correct and met the target of its class. Calls have no target.
func (r *Report) inTime(o outcome) bool {
	target, bounded := r.targets[o.item.stream.Class]
	return o.correct && (o.item.key != "" || !bounded || o.firstToken <= target)
}

func (r *Report) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	if r.inTime(o) {
		r.InTime++
	}
	if o.item.key == "" {
		r.Retries += o.retries
	}
	if o.item.key != "" {
		r.addCall(o)
	}
	switch {
	case o.correct:
		r.Whole++
	case o.notRun:
		r.RefusedNotRun++
	default:
		r.Failed++
	}
	if o.code != "" {
		r.Codes[o.code]++
	}
	if o.correct && o.item.key == "" {
		r.addTimes(o)
	}
}

func (r *Report) addCall(o outcome) {
	r.CallsSent++
	switch {
	case o.correct:
		r.CallsWhole++
	case o.notRun:
		r.notRunKeys = append(r.notRunKeys, o.item.key)
	case o.unknown:
		r.CallsUnknown++
	}
}

func (r *Report) addTimes(o outcome) {
	if o.item.direct {
		_ = r.direct.RecordValue(o.firstToken.Microseconds())
		return
	}
	k := groupKey{o.item.org, o.item.stream.Class}
	if r.firstToken[k] == nil {
		r.firstToken[k], r.tokenGaps[k] = newHistogram(), newHistogram()
	}
	_ = r.firstToken[k].RecordValue(o.firstToken.Microseconds())
	r.addOrigin(o)
	for _, g := range o.tokenGaps {
		_ = r.tokenGaps[k].RecordValue(g.Microseconds())
	}
	r.promptTokens += int64(o.promptTokens)
	r.cachedTokens += int64(o.cachedTokens)
}

// finish computes the summary from the histograms.
func (r *Report) finish(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ElapsedMs = elapsed.Milliseconds()
	all := newHistogram()
	for _, class := range ident.Classes() {
		first, gaps := newHistogram(), newHistogram()
		for _, org := range r.preset.Orgs {
			k := groupKey{org, class}
			if r.firstToken[k] == nil {
				continue
			}
			first.Merge(r.firstToken[k])
			gaps.Merge(r.tokenGaps[k])
			r.Groups = append(r.Groups, Group{org, class, quantiles(r.firstToken[k]), quantiles(r.tokenGaps[k])})
		}
		if first.TotalCount() > 0 {
			r.Classes = append(r.Classes, ClassGroup{class, quantiles(first), quantiles(gaps)})
		}
		all.Merge(first)
	}
	r.addOriginGroups()
	q, s := quantiles(all), quantiles(r.direct)
	r.TTFTP50Ms, r.TTFTP95Ms = q.P50Ms, q.P95Ms
	r.DirectP50Ms, r.DirectP95Ms = s.P50Ms, s.P95Ms
	if r.promptTokens > 0 {
		r.RecomputedShare = 1 - float64(r.cachedTokens)/float64(r.promptTokens)
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{h.TotalCount(), ms(50), ms(95), ms(99), float64(h.Max()) / 1000}
}
