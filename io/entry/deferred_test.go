package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// classLoad sends completions of several classes to one entry and counts the complete answers.
type classLoad struct {
	t        *testing.T
	ctx      context.Context
	e        *bench.Entry
	pending  sync.WaitGroup
	complete atomic.Int64
}

func (l *classLoad) send(class ident.Class, requests, tokens int) {
	for i := range requests {
		prompt := fmt.Sprintf("%s %d", class, i)
		l.pending.Go(func() { l.sendOne(class, prompt, tokens) })
	}
}

func (l *classLoad) sendOne(class ident.Class, prompt string, tokens int) {
	a, err := bench.CallWithClass(l.ctx, l.e, bench.Token, class, completionBody(prompt, tokens))
	if err != nil || a.Status != http.StatusOK {
		l.t.Errorf("%s: status %d, %s, %v", prompt, a.Status, a.Body, err)
		return
	}
	if diff := cmp.Diff(fullAnswer(prompt, "v1", tokens), answerText(l.t, a)); diff != "" {
		l.t.Errorf("%s (-want +got):\n%s", prompt, diff)
	}
	l.complete.Add(1)
}

// fill sends deferred and then standard requests, and waits until the engine runs all of them. Deferred requests can use
// at most three quarters of the entry's capacity on the engine.
func (l *classLoad) fill(engine *bench.Engine, deferred, standard int) {
	for _, step := range []struct {
		class    ident.Class
		requests int
	}{{ident.Deferred, deferred}, {ident.Standard, standard}} {
		want := engine.Running() + step.requests
		l.send(step.class, step.requests, 40)
		if !bench.Wait(l.ctx, func() bool { return engine.Running() == want }) {
			l.t.Fatalf("the engine runs %d requests, want %d", engine.Running(), want)
		}
	}
}

// TestDeferredAttemptsYieldAndResume fills the only engine, mostly with deferred requests, and then sends interactive
// ones. Deferred attempts are cancelled to free capacity and must resume without losing or repeating a token.
func TestDeferredAttemptsYieldAndResume(t *testing.T) {
	const deferred, standard, interactive = 24, 8, 6
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := bench.Start(bench.WithRules(testRules))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	engine, err := c.AddEngine("dunedin", fakes.EngineSettings{
		Model: "m", Version: "v1", PrefillRate: 1e6, StepDuration: 10 * time.Millisecond, MaxBatch: 64, CacheBlocks: 64,
	})
	if err != nil {
		t.Fatal(err)
	}
	e, err := c.AddEntry("dunedin")
	if err != nil {
		t.Fatal(err)
	}
	waitRouting(ctx, t, c, e)
	load := &classLoad{t: t, ctx: ctx, e: e}
	if err := bench.SetFaults(ctx, engine.Address, fakes.EngineFaults{SlowBy: 50}); err != nil {
		t.Fatal(err)
	}
	load.fill(engine, deferred, standard)
	load.send(ident.Interactive, interactive, 5)
	cancelled := func() int64 { return e.Meter().Snapshot().Counters["attempts_cancelled"] }
	if !bench.Wait(ctx, func() bool { return cancelled() > 0 }) {
		t.Error("no deferred attempt was cancelled")
	}
	if err := bench.SetFaults(ctx, engine.Address, fakes.EngineFaults{}); err != nil {
		t.Fatal(err)
	}
	load.pending.Wait()
	if diff := cmp.Diff(int64(deferred+standard+interactive), load.complete.Load()); diff != "" {
		t.Errorf("complete answers (-want +got):\n%s", diff)
	}
	if maxCancelled := int64(2 * deferred); cancelled() > maxCancelled {
		t.Errorf("%d attempts were cancelled, the maximum is %d", cancelled(), maxCancelled)
	}
}
