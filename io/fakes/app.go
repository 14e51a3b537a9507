package fakes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// AppFaults are the faults that an app engine injects.
type AppFaults struct {
	// DelayMs is how long a call takes, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// DropBefore is the share of calls whose connection breaks before the call runs; DropAfter is the share whose
	// connection breaks after it ran.
	DropBefore float64 `json:"drop_before"`
	DropAfter  float64 `json:"drop_after"`
	// Refuse is the share of calls refused with an X-Not-Run header, which proves that they did not run.
	Refuse float64 `json:"refuse"`
	// Silent runs each call but never answers it; the connection stays open until the caller closes it.
	Silent bool `json:"silent"`
	// Deduplicate answers a repeated key with the first answer instead of running the call again.
	Deduplicate bool `json:"deduplicate"`
}

// App is a stand-in for an app engine. It counts the runs of each call.
type App struct {
	faults guarded[AppFaults]
	boot   ident.BootID

	mu      sync.Mutex
	rng     *rand.Rand
	running int
	// runs is the number of runs of each call, by key.
	runs map[string]int
	// replies holds the first answer to each key.
	replies map[string]AppReply
}

// NewApp returns an app engine that has run no calls.
func NewApp(seed uint64) *App {
	return &App{
		boot: ident.BootID(uuid.NewString()), rng: rand.New(rand.NewPCG(seed, seed)), runs: map[string]int{},
		replies: map[string]AppReply{},
	}
}

// AppStats counts the calls of an app engine.
type AppStats struct {
	// Runs is the number of runs, Keys the number of distinct keys that ran, and Duplicates the number of runs
	// beyond the first of each key.
	Runs       int `json:"runs"`
	Keys       int `json:"keys"`
	Duplicates int `json:"duplicates"`
}

// Handler serves calls, the load report, fault injection and statistics.
func (a *App) Handler() http.Handler {
	mux := http.NewServeMux()
	a.faults.serveFaults(mux)
	mux.HandleFunc("POST /call/{service}/{path...}", a.handleCall)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		reply(w, sched.Load{BootID: a.boot, Running: a.running})
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, a.Stats()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, a.Runs()) })
	return mux
}

// Stats returns the counts since the start.
func (a *App) Stats() AppStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AppStats{Keys: len(a.runs)}
	for _, n := range a.runs {
		s.Runs += n
		s.Duplicates += n - 1
	}
	return s
}

// Runs returns a copy of the number of runs by key.
func (a *App) Runs() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := make(map[string]int, len(a.runs))
	for k, n := range a.runs {
		runs[k] = n
	}
	return runs
}

// chance returns true with the given probability.
func (a *App) chance(share float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64() < share
}

func (a *App) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := a.faults.get()
	if a.chance(f.Refuse) {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if a.chance(f.DropBefore) {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get("X-Call-Key")
	if key == "" {
		key = "unkeyed/" + uuid.NewString()
	}
	if first, ran := a.firstReply(key); ran && f.Deduplicate {
		reply(w, first)
		return
	}
	n := a.execute(key, time.Duration(f.DelayMs)*time.Millisecond)
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if a.chance(f.DropAfter) {
		panic(http.ErrAbortHandler)
	}
	answer := AppReply{
		Service: r.PathValue("service"), Path: r.PathValue("path"), Key: key, Run: n,
		Receipt: Receipt(len(body)),
	}
	a.storeFirstReply(answer)
	reply(w, answer)
}

func (a *App) firstReply(key string) (first AppReply, ran bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, ran = a.replies[key]
	return first, ran
}

func (a *App) storeFirstReply(r AppReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, stored := a.replies[r.Key]; !stored {
		a.replies[r.Key] = r
	}
}

// AppReply is the answer to a call.
type AppReply struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	// Run is the number of runs of the key, this one included.
	Run     int    `json:"run"`
	Receipt string `json:"receipt"`
}

// Receipt returns the receipt for a body of n bytes.
func Receipt(n int) string { return fmt.Sprintf("%d bytes", n) }

func (a *App) execute(key string, delay time.Duration) (n int) {
	a.mu.Lock()
	a.running++
	a.runs[key]++
	n = a.runs[key]
	a.mu.Unlock()
	time.Sleep(delay)
	a.mu.Lock()
	a.running--
	a.mu.Unlock()
	return n
}
