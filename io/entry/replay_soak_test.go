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
	// replayJournal keeps every step of a run in memory.
	replayJournal = 1 << 30
	// replaySegments keeps the records of a run's journals out of the way of the log's other streams.
	replaySegments = time.Minute
)

// faultyRun is a run of real entries under load and faults, with the journal of each incarnation.
type faultyRun struct {
	t   *testing.T
	ctx context.Context
	c   *bench.Cluster
	rng *rand.Rand
	// sent counts the requests. Callers send until done, which needs total of them and one of each fault.
	sent  atomic.Int64
	total int64
	done  atomic.Bool
	// mu guards live, the entries that callers use.
	mu       sync.Mutex
	live     []*bench.Entry
	journals [][]record.Entry
	// faults counts what was brought about, by name.
	faults map[string]int
}

func newFaultyRun(t *testing.T, seed uint64, requests int64) *faultyRun {
	t.Helper()
	c, ctx := startCluster(t, replayEntries, bench.WithSettings(func(s *config.Settings) {
		s.JournalBytes, s.JournalInterval = replayJournal, config.Duration(replaySegments)
		s.LogTimeout = config.Duration(300 * time.Millisecond)
	}))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Minute)
	t.Cleanup(cancel)
	return &faultyRun{
		t: t, ctx: ctx, c: c, rng: rand.New(rand.NewPCG(seed, 0)), total: requests, live: c.Entries(), faults: map[string]int{},
	}
}

// run lets callers send while faults follow each other, and takes the journals at the end.
func (r *faultyRun) run(seed uint64) {
	var callers sync.WaitGroup
	for i := range replayCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() { r.call(rng) })
	}
	for r.sent.Load() < r.total && r.ctx.Err() == nil {
		for _, kind := range r.rng.Perm(faultKinds) {
			r.fault(kind)
		}
	}
	r.done.Store(true)
	callers.Wait()
	for _, e := range r.live {
		r.keep(e)
	}
}

// call sends requests until the run is done. Answers don't matter here, the decisions do.
func (r *faultyRun) call(rng *rand.Rand) {
	for !r.done.Load() && r.ctx.Err() == nil {
		n := r.sent.Add(1)
		r.mu.Lock()
		e := r.live[rng.IntN(len(r.live))]
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

// faultKinds counts the kinds of [faultyRun.fault].
const faultKinds = 5

// fault brings about one fault, and ends it where it lasts.
func (r *faultyRun) fault(kind int) {
	lasts := time.Duration(200+r.rng.IntN(600)) * time.Millisecond
	switch kind {
	case 0:
		r.faults["pause"]++
		e := r.live[r.rng.IntN(len(r.live))]
		e.Pause()
		time.Sleep(lasts)
		e.Resume()
	case 1:
		r.faults["kill"]++
		r.replace()
	case 2:
		r.faults["broken streams"]++
		e := r.c.Engines()[len(r.c.Engines())-1]
		r.try(bench.SetFaults(r.ctx, e.Address, fakes.EngineFaults{DropShare: 0.3, DuplicateShare: 0.1}))
	case 3:
		r.faults["engine crash"]++
		r.crash()
	case 4:
		r.faults["log outage"]++
		r.try(bench.SetFaults(r.ctx, r.c.LogURL(), fakes.LogFaults{Outage: true, LoseAnswers: 0.3}))
		time.Sleep(lasts)
		r.try(bench.SetFaults(r.ctx, r.c.LogURL(), fakes.LogFaults{LoseAnswers: 0.1}))
	}
	time.Sleep(lasts)
}

func (r *faultyRun) try(err error) {
	if err != nil {
		r.t.Error(err)
	}
}

// replace kills an entry under load, after its journal was taken, and starts another one.
func (r *faultyRun) replace() {
	i := r.rng.IntN(len(r.live))
	e := r.live[i]
	r.keep(e)
	e.Kill()
	fresh, err := r.c.AddEntry("dunedin")
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[i] = fresh
}

// crash ends the oldest engine that runs and starts another one.
func (r *faultyRun) crash() {
	r.c.Engines()[r.faults["engine crash"]-1].Kill()
	_, err := r.c.AddEngine("dunedin", engineSettings())
	r.try(err)
}

// keep takes an entry's journal.
func (r *faultyRun) keep(e *bench.Entry) {
	var segment record.Segment
	r.try(peer.NewClient(http.DefaultClient, e.Peer).Show(r.ctx, "journal", "", &segment))
	entries, err := segment.Entries()
	r.try(err)
	r.journals = append(r.journals, entries)
}

// replay runs every journal again and reports the steps, the differences and the time that it took.
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

func TestReplayOfARunWithFaults(t *testing.T) {
	r := newFaultyRun(t, 1, 1)
	r.run(1)
	r.check()
}

// TestSoakReplay is the long run.
func TestSoakReplay(t *testing.T) {
	if os.Getenv("CICADAVALVE_SOAK") == "" {
		t.Skip("set CICADAVALVE_SOAK=1 for the long run")
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			r := newFaultyRun(t, seed, 10_000)
			r.run(seed)
			r.check()
		})
	}
}
