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

// attempt is one request of a caller and its outcome.
type attempt struct {
	key     string
	outcome outcome
	// runs is the upstream's count of runs of the key, from its answer or, for outcomeCount, at the end of the campaign.
	runs int
	// code is the refusal code, entry the entry that was asked; both serve only to explain a failure.
	code  string
	entry string
}

type outcome string

const (
	outcomeResult     outcome = "result"
	outcomeNotRun     outcome = "not_run"
	outcomeUnknown    outcome = "outcome_unknown"
	outcomeInProgress outcome = "in_progress"
	// outcomeUncertain is a request refused by an entry that can't tell whether an earlier attempt was sent.
	outcomeUncertain outcome = "uncertain"
	// outcomeLost is a request without an answer; it may still take effect at any time.
	outcomeLost outcome = "lost"
	// outcomeCount is not a request but the upstream's count of runs at the end of the history.
	outcomeCount outcome = "count"
)

// keyState is the state of a key in the sequential specification.
type keyState string

const (
	keyNew  keyState = "new"
	keyRan  keyState = "ran"
	keyDead keyState = "dead" // has not run and never will run
)

// onceModel returns the sequential specification of one key. A result means that the key ran exactly once, not_run that
// it had not run; the upstream's final count must match the state.
func onceModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{keyNew} },
		Step:      func(state, _, output any) []any { return stepKey(state.(keyState), output.(attempt)) },
	}
	return m.ToModel()
}

// stepKey returns the possible states of a key after an attempt, or nil if the attempt contradicts the state.
func stepKey(state keyState, t attempt) []any {
	switch {
	case t.outcome == outcomeResult && state != keyDead && t.runs == 1:
		return []any{keyRan}
	case t.outcome == outcomeNotRun && state != keyRan, t.outcome == outcomeInProgress, t.outcome == outcomeUncertain:
		return []any{state}
	case t.outcome == outcomeUnknown || t.outcome == outcomeLost:
		if state != keyNew {
			return []any{state}
		}
		if t.outcome == outcomeUnknown {
			return []any{keyRan, keyDead}
		}
		return []any{keyNew, keyRan, keyDead}
	case t.outcome == outcomeCount && (state == keyRan && t.runs == 1 || state != keyRan && t.runs == 0):
		return []any{state}
	}
	return nil
}

func partitionByKey(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	index := map[string]int{}
	for _, op := range history {
		key := op.Output.(attempt).key
		i, seen := index[key]
		if !seen {
			i = len(parts)
			index[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// faults are the faults of a campaign: log and app apply throughout, the others enable faults that are injected at
// random times.
type faults struct {
	log    fakes.LogFaults
	app    fakes.AppFaults
	outage bool
	kill   bool
	pause  bool
	silent bool
}

// campaign sends calls while it injects faults, and records the history of their outcomes. Two callers share each key.
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
	campaignEntries  = 3
	campaignAttempts = 8
	campaignCallers  = 32
	campaignTimeout  = 15 * time.Minute
)

func startCampaign(t *testing.T, f faults, seed uint64) *campaign {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), campaignTimeout)
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

// run sends the calls, two per key, and checks the history and the upstream's counts.
func (p *campaign) run(seed uint64, keys int) {
	p.t.Helper()
	p.setFaults(p.faults.log, p.faults.app)
	var callers, chaos sync.WaitGroup
	chaos.Go(func() { p.injectFaults(rand.New(rand.NewPCG(seed, 1))) })
	next := make(chan int)
	for n := range campaignCallers {
		callers.Go(func() { p.runCaller(rand.New(rand.NewPCG(seed, uint64(n+2))), next) })
	}
	for i := range keys {
		next <- i / 2 // two callers share a key
	}
	close(next)
	callers.Wait()
	close(p.stopped)
	chaos.Wait()
	p.setFaults(fakes.LogFaults{}, fakes.AppFaults{})
	p.check((keys + 1) / 2)
}

func (p *campaign) setFaults(log fakes.LogFaults, app fakes.AppFaults) {
	if err := bench.SetFaults(p.ctx, p.c.LogURL(), log); err != nil {
		p.t.Error(err)
	}
	if err := bench.SetFaults(p.ctx, p.c.Apps()[0].Address, app); err != nil {
		p.t.Error(err)
	}
}

func (p *campaign) runCaller(rng *rand.Rand, next <-chan int) {
	for i := range next {
		key := fmt.Sprintf("key-%d", i)
		for range campaignAttempts {
			result := p.attempt(rng, key)
			if result == outcomeResult || result == outcomeUnknown {
				break
			}
			maxDelayMs := 200
			if result == outcomeInProgress {
				maxDelayMs = 1200
			}
			time.Sleep(time.Duration(rng.IntN(maxDelayMs)) * time.Millisecond)
		}
	}
}

// attempt sends one call with the key to a random entry and records its outcome.
func (p *campaign) attempt(rng *rand.Rand, key string) outcome {
	p.mu.Lock()
	e := p.entries[rng.IntN(len(p.entries))]
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(500+rng.IntN(8000))*time.Millisecond)
	defer cancel()
	called := time.Since(p.start)
	a, err := bench.Call(ctx, e, bench.Token, "/v1/call/booking/slot", key, `{"load":"compost"}`)
	out := attempt{key: key, outcome: outcomeLost}
	if err == nil {
		out = readAttempt(key, a)
	}
	out.entry = string(e.ID) + " at " + e.Caller
	p.record(out, called)
	return out.outcome
}

func readAttempt(key string, a bench.Answer) attempt {
	var reply fakes.AppReply
	if a.Status == 200 && json.Unmarshal(a.Body, &reply) == nil {
		return attempt{key: key, outcome: outcomeResult, runs: reply.Run}
	}
	code, notRun := a.Refusal()
	switch {
	case notRun:
		return attempt{key: key, outcome: outcomeNotRun, code: code}
	case code == string(outcomeUnknown), code == string(outcomeInProgress):
		return attempt{key: key, outcome: outcome(code), code: code}
	}
	return attempt{key: key, outcome: outcomeUncertain, code: code}
}

func (p *campaign) record(t attempt, called time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	returned := time.Since(p.start)
	if t.outcome == outcomeLost {
		returned = time.Hour
	}
	p.history = append(p.history, porcupine.Operation{
		ClientId: len(p.history), Input: t.key, Output: t, Call: int64(called), Return: int64(returned),
	})
}

// injectFaults injects random faults one after another until the campaign stops.
func (p *campaign) injectFaults(rng *rand.Rand) {
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(time.Duration(100+rng.IntN(300)) * time.Millisecond):
		}
		duration := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		switch rng.IntN(4) {
		case 0:
			p.pause(rng, duration)
		case 1:
			p.kill(rng)
		case 2:
			p.outage(duration)
		case 3:
			p.silence(duration)
		}
	}
}

func (p *campaign) pause(rng *rand.Rand, duration time.Duration) {
	if !p.faults.pause {
		return
	}
	e := p.entries[rng.IntN(len(p.entries))]
	e.Pause()
	time.Sleep(duration)
	e.Resume()
}

// kill replaces an entry with a new incarnation.
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

func (p *campaign) outage(duration time.Duration) {
	if !p.faults.outage {
		return
	}
	p.setFaults(fakes.LogFaults{Outage: true}, p.faults.app)
	time.Sleep(duration)
	p.setFaults(p.faults.log, p.faults.app)
}

func (p *campaign) silence(duration time.Duration) {
	if !p.faults.silent {
		return
	}
	silent := p.faults.app
	silent.Silent = true
	p.setFaults(p.faults.log, silent)
	time.Sleep(duration)
	p.setFaults(p.faults.log, p.faults.app)
}

// check compares the outcomes that callers got with the upstream's counts.
func (p *campaign) check(keys int) {
	p.t.Helper()
	runs := p.upstreamRuns()
	outcomes := map[outcome]int{}
	for _, op := range p.history {
		outcomes[op.Output.(attempt).outcome]++
	}
	var duplicates, ran int
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		duplicates += max(runs[key]-1, 0)
		ran += min(runs[key], 1)
		p.history = append(p.history, porcupine.Operation{
			ClientId: len(p.history), Input: key, Output: attempt{key: key, outcome: outcomeCount, runs: runs[key]},
			Call: int64(2 * time.Hour), Return: int64(2*time.Hour + 1),
		})
	}
	p.t.Logf("%d calls of %d keys: %d keys ran, %v", len(p.history)-keys, keys, ran, outcomes)
	if diff := cmp.Diff(0, duplicates); diff != "" {
		p.t.Errorf("duplicate runs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, p.falseNotRun(runs)); diff != "" {
		p.t.Errorf("keys that ran although every answer was not_run (-want +got):\n%s", diff)
	}
	if result := porcupine.CheckOperationsTimeout(onceModel(), p.history, time.Minute); result != porcupine.Ok {
		p.t.Errorf("linearizability check of the history: %s", result)
		p.logFailedKeys()
	}
}

// upstreamRuns returns the upstream's count of runs by the caller's key, without the organisation prefix.
func (p *campaign) upstreamRuns() map[string]int {
	runs := map[string]int{}
	for key, n := range p.c.Apps()[0].Runs() {
		runs[strings.TrimPrefix(key, string(bench.Org)+"/")] += n
	}
	return runs
}

// falseNotRun returns the number of keys that ran although every answer was not_run.
func (p *campaign) falseNotRun(runs map[string]int) (n int) {
	mayHaveRun := map[string]bool{}
	for _, op := range p.history {
		if t := op.Output.(attempt); t.outcome != outcomeNotRun && t.outcome != outcomeCount {
			mayHaveRun[t.key] = true
		}
	}
	for key, ran := range runs {
		if ran > 0 && !mayHaveRun[key] && len(key) > 4 && key[:4] == "key-" {
			n++
		}
	}
	return n
}

// logFailedKeys logs the history of each key that is not linearizable.
func (p *campaign) logFailedKeys() {
	for _, part := range partitionByKey(p.history) {
		if porcupine.CheckOperations(onceModel(), part) {
			continue
		}
		for _, op := range part {
			p.t.Logf("%+v: %v to %v", op.Output, time.Duration(op.Call), time.Duration(op.Return))
		}
	}
}
