package stand

import (
	"context"
	"encoding/json"
	"iter"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/engine"
)

// CrashMarker in a prompt crashes the engine that prefills it.
const CrashMarker = "CRASH-ENGINE"

// EngineSettings size a model engine.
type EngineSettings struct {
	Model   ident.ModelName
	Version ident.Version
	// PrefillRate is prompt tokens a second.
	PrefillRate float64
	// StepTime is the time of one decoding step; each sequence in the batch adds SequenceTime.
	StepTime     time.Duration
	SequenceTime time.Duration
	MaxBatch     int
	// CacheBlocks is how many blocks of BlockBytes the prefix cache holds.
	CacheBlocks int
	// ColdTime is how long the engine stays cold after a boot, and ColdBears how many requests it bears then.
	ColdTime  time.Duration
	ColdBears int
	// BootTime is how long the engine answers nothing after a crash that POST /crash orders.
	BootTime time.Duration
	// LoadLag delays the load report, EventLag the cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// WeightsURL locates the weight store.
	WeightsURL string
	// IgnoreFencing accepts orders with an old fencing number.
	IgnoreFencing bool
	Seed          uint64
}

// EngineFaults are the faults of a model engine.
type EngineFaults struct {
	// SlowBy multiplies the time of each step; 0 and 1 leave it as it is.
	SlowBy float64 `json:"slow_by"`
	// Refuse answers every completion with proof that it did not run.
	Refuse bool `json:"refuse"`
	// DropShare is the share of completions whose stream breaks half way.
	DropShare float64 `json:"drop_share"`
	// CrossShare is the share of events that carry another request's id.
	CrossShare float64 `json:"cross_share"`
	// RepeatShare is the share of events that come twice.
	RepeatShare float64 `json:"repeat_share"`
	// GapShare is the share of events that are lost, LateShare the share of events before
	// which an event of another answer comes in.
	GapShare  float64 `json:"gap_share"`
	LateShare float64 `json:"late_share"`
	// AnswerVersion is the version that the engine answers with in place of the one asked for.
	AnswerVersion ident.Version `json:"answer_version"`
	// EventGaps is the share of cache events that are lost.
	EventGaps float64 `json:"event_gaps"`
	// BadVersion fails or slows the requests of one version.
	BadVersion ident.Version `json:"bad_version"`
	// BadFail fails the share of the bad version's requests; BadSlowBy multiplies their step time.
	BadFail   float64 `json:"bad_fail"`
	BadSlowBy float64 `json:"bad_slow_by"`
	// BadAbove makes the version bad only while more requests run.
	BadAbove int `json:"bad_above"`
	// BadClassPriority makes the version bad only for one priority; -1 for every one.
	BadPriority int `json:"bad_priority"`
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Completions int `json:"completions"`
	// MostWhileCold is the highest number of requests that it had at once while cold.
	MostWhileCold int `json:"most_while_cold"`
	// Falls counts the times that it fell over while cold, Crashes the prompts that crashed it.
	Falls        int   `json:"falls"`
	Crashes      int   `json:"crashes"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// WrongBlocks counts the imported blocks that were uncommitted, freed, corrupt, or of another prompt,
	// version or organisation. The engine takes them in and answers wrongly from them.
	WrongBlocks int            `json:"wrong_blocks"`
	WrongCauses map[string]int `json:"wrong_causes"`
	// RefusedBlocks counts the blocks that were not what the order's length and checksum said.
	RefusedBlocks int   `json:"refused_blocks"`
	LinkBytes     int64 `json:"link_bytes"`
	// Started counts the completions that have begun, by version.
	Started map[ident.Version]int `json:"started"`
	Cold    bool                  `json:"cold"`
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	settings EngineSettings
	faults   box[EngineFaults]

	mu    sync.Mutex
	boot  ident.BootID
	rng   rng
	cache *prefixCache
	jobs  []*job
	// coldUntil ends the cold time of the current boot.
	coldUntil time.Time
	// upAt ends the time in which the engine boots and answers nothing.
	upAt    time.Time
	loaded  []sched.Loaded
	fence   int64
	stats   EngineStats
	reports []loadAt
	wake    chan struct{}
	events  []CacheEvent
	// last is the event sent last, of whichever answer.
	last engine.Event
}

type loadAt struct {
	at   time.Time
	load sched.Load
}

// NewEngine is an engine that has just booted.
func NewEngine(s EngineSettings) *Engine {
	e := &Engine{settings: s, rng: newRNG(s.Seed), wake: make(chan struct{}, 1)}
	e.stats.Started, e.stats.WrongCauses = map[ident.Version]int{}, map[string]int{}
	e.loaded = []sched.Loaded{{Model: s.Model, Version: s.Version}}
	e.reboot(time.Now())
	return e
}

// reboot loses the cache and every request, and begins a cold time.
func (e *Engine) reboot(now time.Time) {
	e.boot = ident.BootID(uuid.NewString())
	e.cache = newPrefixCache(e.settings.CacheBlocks)
	e.coldUntil = now.Add(e.settings.ColdTime)
	for _, j := range e.jobs {
		j.abort()
	}
	e.jobs = nil
}

// Handler serves completions, orders, reports, faults and figures.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.faults.handle(mux)
	mux.HandleFunc("POST /v1/completions", e.whenUp(e.complete))
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /load", e.whenUp(func(w http.ResponseWriter, _ *http.Request) { reply(w, e.report(time.Now())) }))
	mux.HandleFunc("GET /events", e.handleEvents)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Stats()) })
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("POST /kv/export", e.export)
	mux.HandleFunc("POST /kv/import", e.importBlocks)
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) { e.turnCold() })
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { e.crash() })
	mux.HandleFunc("POST /mute", func(http.ResponseWriter, *http.Request) { e.mute() })
	return mux
}

// Stats copies the figures.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Started, s.WrongCauses = maps.Clone(e.stats.Started), maps.Clone(e.stats.WrongCauses)
	s.Cold = time.Now().Before(e.coldUntil)
	return s
}

// Running counts the requests that the engine has now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs)
}

// turnCold loses the warmth without a new boot and without a word.
func (e *Engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.settings.ColdTime)
	e.checkCold(time.Now())
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.upAt = time.Now().Add(e.settings.BootTime)
	e.reboot(e.upAt)
}

// whenUp breaks the connection of each request while the engine boots.
func (e *Engine) whenUp(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		up := !time.Now().Before(e.upAt)
		e.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		serve(w, r)
	}
}

// mute keeps the streams that run now open without another byte.
func (e *Engine) mute() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.muted = true
	}
}

// report is the load as it was LoadLag ago.
func (e *Engine) report(now time.Time) sched.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := min(len(e.jobs), e.settings.MaxBatch)
	current := sched.Load{
		BootID: e.boot, Running: running, Waiting: len(e.jobs) - running,
		Loaded: append([]sched.Loaded(nil), e.loaded...),
	}
	e.reports = append(e.reports, loadAt{now, current})
	shown := e.reports[0].load
	for len(e.reports) > 1 && !e.reports[1].at.After(now.Add(-e.settings.LoadLag)) {
		e.reports = e.reports[1:]
		shown = e.reports[0].load
	}
	return shown
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if !decode(w, r, &c) {
		return
	}
	if e.faults.get().Refuse || !e.holds(c) {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "this engine does not run the request", http.StatusServiceUnavailable)
		return
	}
	j := newJob(r.Context(), c)
	e.add(j)
	defer e.drop(j)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for ev := range j.follow(r.Context()) {
		if writeEvent(w, ev) != nil || flush.Flush() != nil {
			return
		}
		if ev.Finish != "" {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// follow yields the job's events until the job is aborted or the client is gone.
func (j *job) follow(ctx context.Context) iter.Seq[engine.Event] {
	return func(yield func(engine.Event) bool) {
		for {
			select {
			case <-ctx.Done():
				return
			case ev, open := <-j.events:
				if !open || !yield(ev) {
					return
				}
			}
		}
	}
}

func writeEvent(w http.ResponseWriter, ev engine.Event) (err error) {
	raw, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	var m sse.Message
	m.AppendData(string(raw))
	_, err = m.WriteTo(w)
	return err
}

func (e *Engine) holds(c engine.Completion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.loaded {
		if l.Model == c.Model && l.Version == c.Version {
			return true
		}
	}
	return false
}

// cancelRequest is the body of POST /v1/cancel.
type cancelRequest struct {
	RequestID string `json:"request_id"`
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var c cancelRequest
	if !decode(w, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, j := range e.jobs {
		if j.c.RequestID == c.RequestID {
			j.abort()
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return
		}
	}
}

// job is one completion on the engine.
type job struct {
	c   engine.Completion
	ctx context.Context
	// events is closed without a final marker when the job is aborted.
	events chan engine.Event
	closed bool
	// prefill counts the prompt tokens still to compute; -1 before the job runs.
	prefill int
	cached  int
	// wrong is true where the context that the job found kept is not that of its prompt.
	wrong   bool
	next    int
	muted   bool
	breaks  bool
	arrived time.Time
}

const eventBuffer = 4096

func newJob(ctx context.Context, c engine.Completion) *job {
	return &job{
		c: c, ctx: ctx, prefill: -1, next: c.ResumeFrom, arrived: time.Now(),
		events: make(chan engine.Event, eventBuffer),
	}
}

func (j *job) abort() {
	if !j.closed {
		j.closed = true
		close(j.events)
	}
}

func (j *job) emit(ev engine.Event) {
	if j.closed || j.muted {
		return
	}
	select {
	case j.events <- ev:
	default:
	}
}

func (j *job) poisoned() bool { return strings.Contains(j.c.Prompt, CrashMarker) }
