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

// Runner generates the load of one run.
type Runner struct {
	preset        Preset
	seed          uint64
	rate          float64
	duration      time.Duration
	timeout       time.Duration
	tokens        map[ident.OrgID]string
	directEngines []string
	maxRetries    int
	targets       map[ident.Class]time.Duration
	progress      io.Writer
	client        *http.Client
	engines       *engine.HTTPClient
	directory     *directory
	engineIndex   atomic.Int64
}

// Option sets one property of a [Runner].
type Option func(*Runner)

// WithSeed sets the seed of the plan. The same seed gives the same requests at the same times.
func WithSeed(seed uint64) Option { return func(r *Runner) { r.seed = seed } }

// WithRate sets the number of requests per second.
func WithRate(perSecond float64) Option { return func(r *Runner) { r.rate = perSecond } }

// WithDuration sets the duration over which requests are sent.
func WithDuration(d time.Duration) Option { return func(r *Runner) { r.duration = d } }

// WithTimeout sets the timeout of each request, its retries included.
func WithTimeout(d time.Duration) Option { return func(r *Runner) { r.timeout = d } }

// WithDirectEngines sends half of the completions directly to these engines, bypassing the entries.
func WithDirectEngines(engines []string) Option { return func(r *Runner) { r.directEngines = engines } }

// WithReturnShare overrides the preset's share of completions that extend an earlier prompt.
func WithReturnShare(share float64) Option { return func(r *Runner) { r.preset.ReturnShare = share } }

// WithCallShare overrides the preset's share of requests that are once-only calls.
func WithCallShare(share float64) Option { return func(r *Runner) { r.preset.CallShare = share } }

// WithMaxRetries sets how often a completion that is refused as not run is retried, each time after the delay in the
// refusal. The default is 0.
func WithMaxRetries(n int) Option { return func(r *Runner) { r.maxRetries = n } }

// WithFirstTokenTarget sets the maximum time to first token for a class's answers to count as in time.
func WithFirstTokenTarget(class ident.Class, target time.Duration) Option {
	return func(r *Runner) { r.targets[class] = target }
}

// WithProgress sets a writer, such as a terminal, for a progress line.
func WithProgress(w io.Writer) Option { return func(r *Runner) { r.progress = w } }

const (
	defaultRate         = 40
	defaultDuration     = 10 * time.Second
	defaultTimeout      = 30 * time.Second
	maxIdleConnsPerHost = 256
	directShare         = 0.5
)

// NewRunner returns a runner for the entries that the seeds, which are addresses of entries, advise.
//
//	report := load.NewRunner(preset, tokens, []string{"127.0.0.1:8080"}, load.WithSeed(1)).Run(ctx)
func NewRunner(p Preset, tokens map[ident.OrgID]string, seeds []string, options ...Option) *Runner {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	r := &Runner{
		preset: p, tokens: tokens, seed: 1, rate: defaultRate, duration: defaultDuration, timeout: defaultTimeout,
		client: client, engines: engine.NewHTTPClient(time.Second, maxIdleConnsPerHost),
		directory: &directory{client: client, seeds: seeds}, targets: map[ident.Class]time.Duration{},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run sends each request of the plan at its due time, whether or not earlier ones have finished, and waits for all of
// them. If the context ends, no further requests are sent.
func (r *Runner) Run(ctx context.Context) *Report {
	share := 0.0
	if len(r.directEngines) > 0 {
		share = directShare
	}
	items := plan(r.preset, r.seed, r.rate, r.duration, share)
	report := newReport(r.preset, r.seed)
	report.targets = r.targets
	start := time.Now()
	var pending sync.WaitGroup
	for i, it := range items {
		due := start.Add(it.dueAfter)
		if !sleepUntil(ctx, due) {
			break
		}
		task := &requestTask{r: r, item: it, due: due, report: report}
		pending.Go(func() { task.run(ctx) })
		r.printProgress(i+1, len(items))
	}
	pending.Wait()
	r.printProgress(len(items), len(items))
	if r.progress != nil {
		_, _ = fmt.Fprintln(r.progress)
	}
	report.finish(time.Since(start))
	return report
}

func (r *Runner) printProgress(done, all int) {
	if r.progress != nil {
		_, _ = fmt.Fprintf(r.progress, "\r%d of %d requests offered", done, all)
	}
}

// sleepUntil waits until due. It returns false if the context ends first.
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

// requestTask runs one request and adds its outcome to the report.
type requestTask struct {
	r      *Runner
	item   item
	due    time.Time
	report *Report
}

func (f *requestTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.r.timeout)
	defer cancel()
	switch {
	case f.item.key != "":
		f.report.add(f.r.runCall(ctx, f.item, f.due))
	case f.item.direct:
		f.report.add(f.r.runDirect(ctx, f.item, f.due))
	default:
		f.report.add(f.r.runCompletion(ctx, f.item, f.due))
	}
}
