package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/record"
	"cicadavalve/core/replay"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/peer"
)

const (
	replayEntries = 3
	replayCallers = 24
	// replayJournalBytes is large enough to hold every step of a run in memory.
	replayJournalBytes = 1 << 30
	// replayJournalInterval is long, so that journal records do not delay the appends to the log's other streams.
	replayJournalInterval = time.Minute
)

// faultyRun runs real entries under load and faults, and collects the journal of each incarnation.
type faultyRun struct {
	t   *testing.T
	ctx context.Context
	c   *bench.Cluster
	rng *rand.Rand
	// sent counts the requests. Callers send until done, which is set after at least minRequests and one of each fault.
	sent        atomic.Int64
	minRequests int64
	done        atomic.Bool
	// mu guards entries, which callers send to.
	mu       sync.Mutex
	entries  []*bench.Entry
	journals [][]record.Entry
	// faults counts the injected faults by name.
	faults map[string]int
}

func newFaultyRun(t *testing.T, seed uint64, requests int64) *faultyRun {
	t.Helper()
	c, ctx := startCluster(t, replayEntries, bench.WithSettings(func(s *config.Settings) {
		s.JournalBytes, s.JournalInterval = replayJournalBytes, config.Duration(replayJournalInterval)
		s.LogTimeout = config.Duration(300 * time.Millisecond)
	}))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Minute)
	t.Cleanup(cancel)
	return &faultyRun{
		t: t, ctx: ctx, c: c, rng: rand.New(rand.NewPCG(seed, 0)), minRequests: requests,
		entries: c.Entries(), faults: map[string]int{},
	}
}

// run sends requests while it injects faults one after another, and saves the journals at the end.
func (r *faultyRun) run(seed uint64) {
	var callers sync.WaitGroup
	for i := range replayCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() { r.runCaller(rng) })
	}
	for r.sent.Load() < r.minRequests && r.ctx.Err() == nil {
		for _, kind := range r.rng.Perm(faultKinds) {
			r.injectFault(kind)
		}
	}
	r.done.Store(true)
	callers.Wait()
	for _, e := range r.entries {
		r.saveJournal(e)
	}
}

// runCaller sends requests until the run is done. It ignores the answers, since only the entries' decisions are checked.
func (r *faultyRun) runCaller(rng *rand.Rand) {
	for !r.done.Load() && r.ctx.Err() == nil {
		n := r.sent.Add(1)
		r.mu.Lock()
		e := r.entries[rng.IntN(len(r.entries))]
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
		if rng.IntN(4) == 0 {
			_, _ = bench.Call(ctx, e, bench.Token, "/v1/call/booking/x", fmt.Sprint("key-", n), "{}")
		} else {
			prompt := fmt.Sprintf("prompt %d", rng.IntN(500))
			_, _ = bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(prompt, 1+rng.IntN(12)))
		}
		cancel()
	}
}

// faultKinds is the number of kinds of [faultyRun.injectFault].
const faultKinds = 5

// injectFault injects one fault, and ends it if it is a pause or a log outage.
func (r *faultyRun) injectFault(kind int) {
	duration := time.Duration(200+r.rng.IntN(600)) * time.Millisecond
	switch kind {
	case 0:
		r.faults["pause"]++
		e := r.entries[r.rng.IntN(len(r.entries))]
		e.Pause()
		time.Sleep(duration)
		e.Resume()
	case 1:
		r.faults["kill"]++
		r.replaceEntry()
	case 2:
		r.faults["broken streams"]++
		e := r.c.Engines()[len(r.c.Engines())-1]
		r.reportError(bench.SetFaults(r.ctx, e.Address, fakes.EngineFaults{DropShare: 0.3, DuplicateShare: 0.1}))
	case 3:
		r.faults["engine crash"]++
		r.replaceEngine()
	case 4:
		r.faults["log outage"]++
		r.reportError(bench.SetFaults(r.ctx, r.c.LogURL(), fakes.LogFaults{Outage: true, LoseAnswers: 0.3}))
		time.Sleep(duration)
		r.reportError(bench.SetFaults(r.ctx, r.c.LogURL(), fakes.LogFaults{LoseAnswers: 0.1}))
	}
	time.Sleep(duration)
}

func (r *faultyRun) reportError(err error) {
	if err != nil {
		r.t.Error(err)
	}
}

// replaceEntry saves an entry's journal, kills the entry under load and starts another one.
func (r *faultyRun) replaceEntry() {
	i := r.rng.IntN(len(r.entries))
	e := r.entries[i]
	r.saveJournal(e)
	e.Kill()
	fresh, err := r.c.AddEntry("dunedin")
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[i] = fresh
}

// replaceEngine kills the oldest running engine and starts another one.
func (r *faultyRun) replaceEngine() {
	r.c.Engines()[r.faults["engine crash"]-1].Kill()
	_, err := r.c.AddEngine("dunedin", engineSettings())
	r.reportError(err)
}

// saveJournal adds an entry's journal to the collected ones.
func (r *faultyRun) saveJournal(e *bench.Entry) {
	var segment record.Segment
	r.reportError(peer.NewClient(http.DefaultClient, e.Peer).Show(r.ctx, "journal", "", &segment))
	entries, err := segment.Entries()
	r.reportError(err)
	r.journals = append(r.journals, entries)
}

// replay replays every journal and returns the number of steps, the differences and the duration.
func (r *faultyRun) replay() (steps int64, differences []replay.Difference, took time.Duration) {
	began := time.Now()
	for _, journal := range r.journals {
		report := replayAll(r.t, journal)
		steps += report.Steps
		differences = append(differences, report.Differences...)
	}
	return steps, differences, time.Since(began)
}

func (r *faultyRun) check() {
	steps, differences, took := r.replay()
	r.t.Logf("%d requests, faults %v, %d incarnations, %d steps replayed in %s: %.0f steps/s",
		r.sent.Load(), r.faults, len(r.journals), steps, took, float64(steps)/took.Seconds())
	if diff := cmp.Diff([]replay.Difference(nil), differences); diff != "" {
		r.t.Errorf("differences (-want +got):\n%.4000s", diff)
	}
}

func TestReplayOfFaultyRun(t *testing.T) {
	r := newFaultyRun(t, 1, 1)
	r.run(1)
	r.check()
}

// TestSoakReplay is the long variant of TestReplayOfFaultyRun.
func TestSoakReplay(t *testing.T) {
	if os.Getenv("CICADAVALVE_SOAK") == "" {
		t.Skip("set CICADAVALVE_SOAK=1 to run this test")
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			r := newFaultyRun(t, seed, 10_000)
			r.run(seed)
			r.check()
		})
	}
}
