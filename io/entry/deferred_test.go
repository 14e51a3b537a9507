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

// classLoad asks an entry for completions of one class and counts the whole answers.
type classLoad struct {
	t     *testing.T
	ctx   context.Context
	e     *bench.Entry
	done  sync.WaitGroup
	whole atomic.Int64
}

func (l *classLoad) ask(class ident.Class, requests, tokens int) {
	for i := range requests {
		prompt := fmt.Sprintf("%s %d", class, i)
		l.done.Go(func() { l.askOne(class, prompt, tokens) })
	}
}

func (l *classLoad) askOne(class ident.Class, prompt string, tokens int) {
	a, err := bench.CallWithClass(l.ctx, l.e, bench.Token, class, completionBody(prompt, tokens))
	if err != nil || a.Status != http.StatusOK {
		l.t.Errorf("%s: status %d, %s, %v", prompt, a.Status, a.Body, err)
		return
	}
	if diff := cmp.Diff(wholeAnswer(prompt, "v1", tokens), answerText(l.t, a)); diff != "" {
		l.t.Errorf("%s (-want +got):\n%s", prompt, diff)
	}
	l.whole.Add(1)
}

// fill takes every place that an entry has on the engine, all but a quarter by deferred requests.
func (l *classLoad) fill(engine *bench.Engine, deferred, standard int) {
	for _, step := range []struct {
		class    ident.Class
		requests int
	}{{ident.Deferred, deferred}, {ident.Standard, standard}} {
		want := engine.Running() + step.requests
		l.ask(step.class, step.requests, 40)
		if !bench.Wait(l.ctx, func() bool { return engine.Running() == want }) {
			l.t.Fatalf("the engine has %d requests, expected %d", engine.Running(), want)
		}
	}
}

// TestDeferredMakesRoomAndLosesNoToken fills the one engine, most of it with deferred work, and asks
// for interactive answers: deferred attempts are stopped, and go on where they were.
func TestDeferredMakesRoomAndLosesNoToken(t *testing.T) {
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
	load.ask(ident.Interactive, interactive, 5)
	stopped := func() int64 { return e.Meter().Snapshot().Counters["attempts_cancelled"] }
	if !bench.Wait(ctx, func() bool { return stopped() > 0 }) {
		t.Error("no deferred attempt was stopped")
	}
	if err := bench.SetFaults(ctx, engine.Address, fakes.EngineFaults{}); err != nil {
		t.Fatal(err)
	}
	load.done.Wait()
	if diff := cmp.Diff(int64(deferred+standard+interactive), load.whole.Load()); diff != "" {
		t.Errorf("whole answers (-want +got):\n%s", diff)
	}
	if most := int64(2 * deferred); stopped() > most {
		t.Errorf("%d attempts were stopped, at most %d may be", stopped(), most)
	}
}
