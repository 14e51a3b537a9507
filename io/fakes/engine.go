package fakes

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

// CrashMarker is a text that crashes the engine once a prompt that contains it is prefilled.
const CrashMarker = "CRASH-ENGINE"

// EngineSettings configures a model engine.
type EngineSettings struct {
	Model   ident.ModelName
	Version ident.Version
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepDuration is the base duration of a decoding step; each sequence in the batch adds SequenceDuration.
	StepDuration     time.Duration
	SequenceDuration time.Duration
	MaxBatch         int
	// CacheBlocks is the capacity of the prefix cache, in blocks of 1,024 tokens.
	CacheBlocks int
	// ColdDuration is how long the engine stays cold after a boot. While cold it crashes when it has more than
	// MaxColdRequests requests; 0 means no limit.
	ColdDuration    time.Duration
	MaxColdRequests int
	// BootDelay is how long the engine breaks the connections of completions and load reports after a crash ordered
	// through POST /crash.
	BootDelay time.Duration
	// LoadLag is the delay of load reports and EventLag the delay of cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// WeightsURL is the URL of the weight store. If it is empty, weights load at once.
	WeightsURL string
	// IgnoreFencing accepts orders with an old fencing number.
	IgnoreFencing bool
	Seed          uint64
}

// EngineFaults are the faults that a model engine injects.
type EngineFaults struct {
	// SlowBy multiplies the duration of each step; 0 and 1 have no effect.
	SlowBy float64 `json:"slow_by"`
	// Refuse refuses every completion with an X-Not-Run header, which proves that it did not run.
	Refuse bool `json:"refuse"`
	// DropShare is the share of completions whose stream breaks after half of the tokens.
	DropShare float64 `json:"drop_share"`
	// CrossShare is the share of events preceded by a copy that carries a foreign request id.
	CrossShare float64 `json:"cross_share"`
	// DuplicateShare is the share of events that are sent twice.
	DuplicateShare float64 `json:"repeat_share"`
	// GapShare is the share of events that are not sent. StaleShare is the share of events preceded by a repeat
	// of the engine's previous event, which may belong to another answer.
	GapShare   float64 `json:"gap_share"`
	StaleShare float64 `json:"late_share"`
	// AnswerVersion replaces the requested version in answers; empty has no effect.
	AnswerVersion ident.Version `json:"answer_version"`
	// EventGaps is the share of cache events left out of a response.
	EventGaps float64 `json:"event_gaps"`
	// BadVersion is the version whose requests fail or run slowly; empty means none.
	BadVersion ident.Version `json:"bad_version"`
	// BadFail is the share of the bad version's requests that fail; BadSlowBy is the minimum slowdown factor of steps
	// that include one in their batch.
	BadFail   float64 `json:"bad_fail"`
	BadSlowBy float64 `json:"bad_slow_by"`
	// BadAbove restricts the fault to times at which the engine has at least this many requests.
	BadAbove int `json:"bad_above"`
	// BadPriority restricts the fault to requests of one priority; -1 means all.
	BadPriority int `json:"bad_priority"`
}

// EngineStats are the counters of an engine since its process started; a simulated crash does not reset them.
type EngineStats struct {
	Completions int `json:"completions"`
	// MaxWhileCold is the maximum number of concurrent requests while the engine was cold.
	MaxWhileCold int `json:"most_while_cold"`
	// ColdCrashes is the number of crashes from overload while cold, Crashes the number caused by [CrashMarker].
	ColdCrashes  int   `json:"falls"`
	Crashes      int   `json:"crashes"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// WrongBlocks is the number of imported blocks that were uncommitted, freed, corrupt, or of another prompt,
	// version or organisation; WrongCauses splits it by cause. The engine caches these blocks, and answers computed
	// from them are wrong.
	WrongBlocks int            `json:"wrong_blocks"`
	WrongCauses map[string]int `json:"wrong_causes"`
	// RefusedBlocks is the number of blocks rejected because they did not match the length and checksum in the order.
	RefusedBlocks int   `json:"refused_blocks"`
	LinkBytes     int64 `json:"link_bytes"`
	// Started is the number of completions accepted, by version.
	Started map[ident.Version]int `json:"started"`
	Cold    bool                  `json:"cold"`
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	settings EngineSettings
	faults   guarded[EngineFaults]

	mu    sync.Mutex
	boot  ident.BootID
	rng   rng
	cache *prefixCache
	jobs  []*job
	// coldUntil is when the engine becomes warm.
	coldUntil time.Time
	// readyAt is when a boot ends; until then completions and load reports get no answer.
	readyAt     time.Time
	loaded      []sched.Loaded
	maxFence    int64
	stats       EngineStats
	loadHistory []loadSample
	wake        chan struct{}
	events      []CacheEvent
	// lastEvent is the previous event of any answer.
	lastEvent engine.Event
}

type loadSample struct {
	at   time.Time
	load sched.Load
}

// NewEngine returns an engine that has just booted and is cold.
func NewEngine(s EngineSettings) *Engine {
	e := &Engine{settings: s, rng: newRNG(s.Seed), wake: make(chan struct{}, 1)}
	e.stats.Started, e.stats.WrongCauses = map[ident.Version]int{}, map[string]int{}
	e.loaded = []sched.Loaded{{Model: s.Model, Version: s.Version}}
	e.reboot(time.Now())
	return e
}

// reboot clears the cache, aborts every request and makes the engine cold.
func (e *Engine) reboot(now time.Time) {
	e.boot = ident.BootID(uuid.NewString())
	e.cache = newPrefixCache(e.settings.CacheBlocks)
	e.coldUntil = now.Add(e.settings.ColdDuration)
	for _, j := range e.jobs {
		j.abort()
	}
	e.jobs = nil
}

// Handler serves completions, orders, reports, fault injection and statistics.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.faults.serveFaults(mux)
	mux.HandleFunc("POST /v1/completions", e.unlessBooting(e.handleCompletion))
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("GET /load", e.unlessBooting(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, e.delayedLoad(time.Now()))
	}))
	mux.HandleFunc("GET /events", e.handleEvents)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Stats()) })
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("POST /kv/export", e.handleExport)
	mux.HandleFunc("POST /kv/import", e.handleImport)
	mux.HandleFunc("POST /cold", func(http.ResponseWriter, *http.Request) { e.turnCold() })
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { e.crash() })
	mux.HandleFunc("POST /mute", func(http.ResponseWriter, *http.Request) { e.mute() })
	return mux
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Started, s.WrongCauses = maps.Clone(e.stats.Started), maps.Clone(e.stats.WrongCauses)
	s.Cold = time.Now().Before(e.coldUntil)
	return s
}

// Running returns the number of requests in the engine, running and waiting.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs)
}

// turnCold makes the engine cold without a new boot id, so that load reports do not show it.
func (e *Engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.settings.ColdDuration)
	e.checkColdLoad(time.Now())
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readyAt = time.Now().Add(e.settings.BootDelay)
	e.reboot(e.readyAt)
}

// unlessBooting returns a handler that breaks the connection of each request that arrives while the engine boots.
func (e *Engine) unlessBooting(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		up := !time.Now().Before(e.readyAt)
		e.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		serve(w, r)
	}
}

// mute stops all output on the current streams but keeps them open.
func (e *Engine) mute() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs {
		j.muted = true
	}
}

// delayedLoad returns the load as of LoadLag ago, or the oldest sample if there is none that old.
func (e *Engine) delayedLoad(now time.Time) sched.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := min(len(e.jobs), e.settings.MaxBatch)
	current := sched.Load{
		BootID: e.boot, Running: running, Waiting: len(e.jobs) - running,
		Loaded: append([]sched.Loaded(nil), e.loaded...),
	}
	e.loadHistory = append(e.loadHistory, loadSample{now, current})
	visible := e.loadHistory[0].load
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(now.Add(-e.settings.LoadLag)) {
		e.loadHistory = e.loadHistory[1:]
		visible = e.loadHistory[0].load
	}
	return visible
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if !decode(w, r, &c) {
		return
	}
	if e.faults.get().Refuse || !e.hasModel(c) {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "model version not loaded, or requests refused by an injected fault", http.StatusServiceUnavailable)
		return
	}
	j := newJob(r.Context(), c)
	e.addJob(j)
	defer e.cancelJob(j)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for ev := range j.stream(r.Context()) {
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

// stream yields the job's events until the job is aborted or the client disconnects.
func (j *job) stream(ctx context.Context) iter.Seq[engine.Event] {
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

func (e *Engine) hasModel(c engine.Completion) bool {
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

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c cancelRequest
	if !decode(w, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, j := range e.jobs {
		if j.req.RequestID == c.RequestID {
			j.abort()
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return
		}
	}
}

// job is a completion in the engine.
type job struct {
	req engine.Completion
	ctx context.Context
	// events is closed, without a finish event, when the job is aborted.
	events chan engine.Event
	closed bool
	// prefillLeft is the number of prompt tokens left to prefill; -1 before the job first runs.
	prefillLeft int
	cached      int
	// wrongContext is true if the cached context that the job uses does not belong to its prompt.
	wrongContext bool
	nextSeq      int
	muted        bool
	breakStream  bool
	arrived      time.Time
}

const eventBufferSize = 4096

func newJob(ctx context.Context, c engine.Completion) *job {
	return &job{
		req: c, ctx: ctx, prefillLeft: -1, nextSeq: c.ResumeFrom, arrived: time.Now(),
		events: make(chan engine.Event, eventBufferSize),
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

func (j *job) hasCrashMarker() bool { return strings.Contains(j.req.Prompt, CrashMarker) }
