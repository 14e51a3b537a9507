package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
)

// try is one request of a caller and what came of it.
type try struct {
	key string
	// ended is how the request ended; runs is what the upstream says of the key in its answer or at the end.
	ended ending
	runs  int
	// code is that of a refusal and by the entry that answered; both only explain a history.
	code string
	by   string
}

type ending string

const (
	endedResult     ending = "result"
	endedNotRun     ending = "not_run"
	endedUnknown    ending = "outcome_unknown"
	endedInProgress ending = "in_progress"
	// endedDoubt is a request that was not sent, by an entry that can't tell whether an earlier one was.
	endedDoubt ending = "doubt"
	// endedLost is a request without an answer, which may take effect at any later time.
	endedLost ending = "lost"
	// endedCount is the upstream's own count after everything else.
	endedCount ending = "count"
)

// fate is the state of a key in the sequential specification.
type fate string

const (
	fateNew  fate = "new"
	fateRan  fate = "ran"
	fateDead fate = "dead" // has not run and never will
)

// onceModel is the sequential specification of one key: a result means one run,
// not_run that the key had not run, and the upstream's count decides the rest.
func onceModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: byKey,
		Init:      func() []any { return []any{fateNew} },
		Step:      func(state, _, output any) []any { return stepKey(state.(fate), output.(try)) },
	}
	return m.ToModel()
}

func stepKey(state fate, t try) []any {
	switch {
	case t.ended == endedResult && state != fateDead && t.runs == 1:
		return []any{fateRan}
	case t.ended == endedNotRun && state != fateRan, t.ended == endedInProgress, t.ended == endedDoubt:
		return []any{state}
	case t.ended == endedUnknown || t.ended == endedLost:
		if state != fateNew {
			return []any{state}
		}
		if t.ended == endedUnknown {
			return []any{fateRan, fateDead}
		}
		return []any{fateNew, fateRan, fateDead}
	case t.ended == endedCount && (state == fateRan && t.runs == 1 || state != fateRan && t.runs == 0):
		return []any{state}
	}
	return nil
}

func byKey(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	at := map[string]int{}
	for _, op := range history {
		key := op.Output.(try).key
		i, seen := at[key]
		if !seen {
			i = len(parts)
			at[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// faults says what the run meets.
type faults struct {
	log    fakes.LogFaults
	app    fakes.AppFaults
	outage bool
	kill   bool
	pause  bool
	silent bool
}

// campaign offers calls from several callers a key while faults come and go.
type campaign struct {
	t       *testing.T
	c       *bench.Cluster
	ctx     context.Context
	faults  faults
	start   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
	entries []*bench.Entry
	stopped chan struct{}
}

const (
	campaignEntries = 3
	campaignTries   = 8
	campaignCallers = 32
	campaignLimit   = 15 * time.Minute
)

func startCampaign(t *testing.T, f faults, seed uint64) *campaign {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), campaignLimit)
	t.Cleanup(cancel)
	c, _ := startCluster(t, campaignEntries,
		bench.WithLog(fakes.LogSettings{AppendsPerSecond: 300, Seed: seed}),
		bench.WithSettings(func(s *config.Settings) {
			s.OnceSendLimit = config.Duration(time.Second)
			s.OnceAbandonAge = config.Duration(2 * time.Second)
		}))
	return &campaign{
		t: t, c: c, ctx: ctx, faults: f, start: time.Now(), entries: c.Entries(), stopped: make(chan struct{}),
	}
}

// run offers the calls and checks the history and the upstream's counts.
func (p *campaign) run(seed uint64, keys int) {
	p.t.Helper()
	p.set(p.faults.log, p.faults.app)
	var callers, chaos sync.WaitGroup
	chaos.Go(func() { p.disturb(rand.New(rand.NewPCG(seed, 1))) })
	next := make(chan int)
	for n := range campaignCallers {
		callers.Go(func() { p.caller(rand.New(rand.NewPCG(seed, uint64(n+2))), next) })
	}
	for i := range keys {
		next <- i / 2 // two callers share a key
	}
	close(next)
	callers.Wait()
	close(p.stopped)
	chaos.Wait()
	p.set(fakes.LogFaults{}, fakes.AppFaults{})
	p.check((keys + 1) / 2)
}

func (p *campaign) set(log fakes.LogFaults, app fakes.AppFaults) {
	if err := bench.SetFaults(p.ctx, p.c.LogURL(), log); err != nil {
		p.t.Error(err)
	}
	if err := bench.SetFaults(p.ctx, p.c.Apps()[0].Address, app); err != nil {
		p.t.Error(err)
	}
}

func (p *campaign) caller(rng *rand.Rand, next <-chan int) {
	for i := range next {
		key := fmt.Sprintf("key-%d", i)
		for range campaignTries {
			ended := p.try(rng, key)
			if ended == endedResult || ended == endedUnknown {
				break
			}
			most := 200
			if ended == endedInProgress {
				most = 1200
			}
			time.Sleep(time.Duration(rng.IntN(most)) * time.Millisecond)
		}
	}
}

// try asks one entry.
func (p *campaign) try(rng *rand.Rand, key string) ending {
	p.mu.Lock()
	e := p.entries[rng.IntN(len(p.entries))]
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(500+rng.IntN(8000))*time.Millisecond)
	defer cancel()
	called := time.Since(p.start)
	a, err := bench.Call(ctx, e, bench.Token, "/v1/call/booking/slot", key, `{"load":"compost"}`)
	out := try{key: key, ended: endedLost}
	if err == nil {
		out = readTry(key, a)
	}
	out.by = string(e.ID) + " at " + e.Caller
	p.add(out, called)
	return out.ended
}

func readTry(key string, a bench.Answer) try {
	var reply fakes.AppReply
	if a.Status == 200 && json.Unmarshal(a.Body, &reply) == nil {
		return try{key: key, ended: endedResult, runs: reply.Run}
	}
	code, notRun := a.Refusal()
	switch {
	case notRun:
		return try{key: key, ended: endedNotRun, code: code}
	case code == string(endedUnknown), code == string(endedInProgress):
		return try{key: key, ended: ending(code), code: code}
	}
	return try{key: key, ended: endedDoubt, code: code}
}

func (p *campaign) add(t try, called time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	returned := time.Since(p.start)
	if t.ended == endedLost {
		returned = time.Hour
	}
	p.history = append(p.history, porcupine.Operation{
		ClientId: len(p.history), Input: t.key, Output: t, Call: int64(called), Return: int64(returned),
	})
}

// disturb brings one fault after the other until the run ends.
func (p *campaign) disturb(rng *rand.Rand) {
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(time.Duration(100+rng.IntN(300)) * time.Millisecond):
		}
		lasts := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		switch rng.IntN(4) {
		case 0:
			p.pause(rng, lasts)
		case 1:
			p.kill(rng)
		case 2:
			p.outage(lasts)
		case 3:
			p.silence(lasts)
		}
	}
}

func (p *campaign) pause(rng *rand.Rand, lasts time.Duration) {
	if !p.faults.pause {
		return
	}
	e := p.entries[rng.IntN(len(p.entries))]
	e.Pause()
	time.Sleep(lasts)
	e.Resume()
}

// kill replaces an entry by a new incarnation.
func (p *campaign) kill(rng *rand.Rand) {
	if !p.faults.kill {
		return
	}
	i := rng.IntN(len(p.entries))
	p.entries[i].Kill()
	e, err := p.c.AddNamedEntry(p.entries[i].ID, "dunedin")
	if err != nil {
		p.t.Error(err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[i] = e
}

func (p *campaign) outage(lasts time.Duration) {
	if !p.faults.outage {
		return
	}
	p.set(fakes.LogFaults{Outage: true}, p.faults.app)
	time.Sleep(lasts)
	p.set(p.faults.log, p.faults.app)
}

func (p *campaign) silence(lasts time.Duration) {
	if !p.faults.silent {
		return
	}
	silent := p.faults.app
	silent.Silent = true
	p.set(p.faults.log, silent)
	time.Sleep(lasts)
	p.set(p.faults.log, p.faults.app)
}

// check compares what callers were told with what the upstream counted.
func (p *campaign) check(keys int) {
	p.t.Helper()
	runs := p.upstreamRuns()
	ends := map[ending]int{}
	for _, op := range p.history {
		ends[op.Output.(try).ended]++
	}
	var duplicates, ran int
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		duplicates += max(runs[key]-1, 0)
		ran += min(runs[key], 1)
		p.history = append(p.history, porcupine.Operation{
			ClientId: len(p.history), Input: key, Output: try{key: key, ended: endedCount, runs: runs[key]},
			Call: int64(2 * time.Hour), Return: int64(2*time.Hour + 1),
		})
	}
	p.t.Logf("%d calls of %d keys: %d keys ran, %v", len(p.history)-keys, keys, ran, ends)
	if diff := cmp.Diff(0, duplicates); diff != "" {
		p.t.Errorf("duplicate runs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, p.falseNotRun(runs)); diff != "" {
		p.t.Errorf("keys that ran though every answer said not_run (-want +got):\n%s", diff)
	}
	if result := porcupine.CheckOperationsTimeout(onceModel(), p.history, time.Minute); result != porcupine.Ok {
		p.t.Errorf("the history is %s", result)
		p.explain()
	}
}

// upstreamRuns is the upstream's own count by the callers' keys.
func (p *campaign) upstreamRuns() map[string]int {
	runs := map[string]int{}
	for key, n := range p.c.Apps()[0].Runs() {
		runs[strings.TrimPrefix(key, string(bench.Org)+"/")] += n
	}
	return runs
}

func (p *campaign) falseNotRun(runs map[string]int) (n int) {
	doubted := map[string]bool{}
	for _, op := range p.history {
		if t := op.Output.(try); t.ended != endedNotRun && t.ended != endedCount {
			doubted[t.key] = true
		}
	}
	for key, ran := range runs {
		if ran > 0 && !doubted[key] && len(key) > 4 && key[:4] == "key-" {
			n++
		}
	}
	return n
}

// explain logs the history of each key that has no order.
func (p *campaign) explain() {
	for _, part := range byKey(p.history) {
		if porcupine.CheckOperations(onceModel(), part) {
			continue
		}
		for _, op := range part {
			p.t.Logf("%+v: %v to %v", op.Output, time.Duration(op.Call), time.Duration(op.Return))
		}
	}
}
