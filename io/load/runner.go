package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/io/engine"
)

// Runner offers one run of load.
type Runner struct {
	preset    Preset
	seed      uint64
	rate      float64
	length    time.Duration
	timeout   time.Duration
	tokens    map[ident.OrgID]string
	straight  []string
	comebacks int
	targets   map[ident.Class]time.Duration
	progress  io.Writer
	client    *http.Client
	engines   *engine.HTTPClient
	directory *directory
	turn      atomic.Int64
}

// Option sets one property of a [Runner].
type Option func(*Runner)

// WithSeed fixes the plan: the same seed offers the same requests at the same times.
func WithSeed(seed uint64) Option { return func(r *Runner) { r.seed = seed } }

// WithRate sets the requests offered a second.
func WithRate(perSecond float64) Option { return func(r *Runner) { r.rate = perSecond } }

// WithLength sets for how long requests are offered.
func WithLength(d time.Duration) Option { return func(r *Runner) { r.length = d } }

// WithTimeout bounds each request.
func WithTimeout(d time.Duration) Option { return func(r *Runner) { r.timeout = d } }

// WithStraight sends half of the completions straight to these engines.
func WithStraight(engines []string) Option { return func(r *Runner) { r.straight = engines } }

// WithReturnShare sets the share of completions whose prompt comes back, in place of the preset's.
func WithReturnShare(share float64) Option { return func(r *Runner) { r.preset.ReturnShare = share } }

// WithCallShare sets the share of requests that are once-only calls, in place of the preset's.
func WithCallShare(share float64) Option { return func(r *Runner) { r.preset.CallShare = share } }

// WithComebacks lets a caller whose completion was refused as not run come back so many times, when it is told to.
func WithComebacks(n int) Option { return func(r *Runner) { r.comebacks = n } }

// WithFirstTokenTarget bounds the first token of a class's answers that count as in time.
func WithFirstTokenTarget(class ident.Class, target time.Duration) Option {
	return func(r *Runner) { r.targets[class] = target }
}

// WithProgress writes a progress line.
func WithProgress(w io.Writer) Option { return func(r *Runner) { r.progress = w } }

const (
	defaultRate    = 40
	defaultLength  = 10 * time.Second
	defaultTimeout = 30 * time.Second
	idlePerHost    = 256
	straightShare  = 0.5
)

// NewRunner is a run against the entries that the seeds advise.
//
//	report := load.NewRunner(preset, tokens, []string{"127.0.0.1:8080"}, load.WithSeed(1)).Run(ctx)
func NewRunner(p Preset, tokens map[ident.OrgID]string, seeds []string, options ...Option) *Runner {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}
	r := &Runner{
		preset: p, tokens: tokens, seed: 1, rate: defaultRate, length: defaultLength, timeout: defaultTimeout,
		client: client, engines: engine.NewHTTPClient(time.Second, idlePerHost),
		directory: &directory{client: client, seeds: seeds}, targets: map[ident.Class]time.Duration{},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run offers the whole plan, each request at its due time whatever became of the others.
func (r *Runner) Run(ctx context.Context) *Report {
	share := 0.0
	if len(r.straight) > 0 {
		share = straightShare
	}
	items := plan(r.preset, r.seed, r.rate, r.length, share)
	report := newReport(r.preset, r.seed)
	report.targets = r.targets
	start := time.Now()
	var pending sync.WaitGroup
	for i, it := range items {
		due := start.Add(it.at)
		if !sleepUntil(ctx, due) {
			break
		}
		one := &flight{r: r, item: it, due: due, report: report}
		pending.Go(func() { one.run(ctx) })
		r.show(i+1, len(items))
	}
	pending.Wait()
	r.show(len(items), len(items))
	if r.progress != nil {
		_, _ = fmt.Fprintln(r.progress)
	}
	report.close(time.Since(start))
	return report
}

func (r *Runner) show(done, all int) {
	if r.progress != nil {
		_, _ = fmt.Fprintf(r.progress, "\r%d of %d requests offered", done, all)
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// flight is one request on its way.
type flight struct {
	r      *Runner
	item   item
	due    time.Time
	report *Report
}

func (f *flight) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.r.timeout)
	defer cancel()
	switch {
	case f.item.key != "":
		f.report.add(f.r.call(ctx, f.item, f.due))
	case f.item.straight:
		f.report.add(f.r.straightTo(ctx, f.item, f.due))
	default:
		f.report.add(f.r.complete(ctx, f.item, f.due))
	}
}
