package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// sendCompletions sends completions concurrently and checks that each gets the complete answer to its own prompt.
func sendCompletions(ctx context.Context, t *testing.T, e *bench.Entry, requests, tokens int) {
	t.Helper()
	var pending sync.WaitGroup
	for i := range requests {
		prompt := fmt.Sprintf("%s, prompt %d", t.Name(), i)
		pending.Go(func() {
			a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(prompt, tokens))
			if err != nil || a.Status != http.StatusOK {
				t.Errorf("%s: status %d, body %s, error %v", prompt, a.Status, a.Body, err)
				return
			}
			if diff := cmp.Diff(fullAnswer(prompt, "v1", tokens), answerText(t, a)); diff != "" {
				t.Errorf("%s (-want +got):\n%s", prompt, diff)
			}
		})
	}
	pending.Wait()
}

// TestCompleteAnswersUnderEngineFaults injects each fault into one of two engines. Crossed, stale and duplicate events
// are injected into both, so that no retry on a healthy engine can hide a failure to filter them.
func TestCompleteAnswersUnderEngineFaults(t *testing.T) {
	cases := map[string]struct {
		faults fakes.EngineFaults
		both   bool
	}{
		"drop":          {fakes.EngineFaults{DropShare: 1}, false},
		"cross":         {fakes.EngineFaults{CrossShare: 0.3}, true},
		"late":          {fakes.EngineFaults{StaleShare: 0.3}, true},
		"repeat":        {fakes.EngineFaults{DuplicateShare: 0.3}, true},
		"gap":           {fakes.EngineFaults{GapShare: 0.2}, false},
		"refuse":        {fakes.EngineFaults{Refuse: true}, false},
		"wrong version": {fakes.EngineFaults{AnswerVersion: "v0"}, false},
		"combined":      {fakes.EngineFaults{CrossShare: 0.2, StaleShare: 0.2, DuplicateShare: 0.2, DropShare: 0.5}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, ctx := startCluster(t, 1)
			for i, e := range c.Engines() {
				if i > 0 && !tc.both {
					break
				}
				if err := bench.SetFaults(ctx, e.Address, tc.faults); err != nil {
					t.Fatal(err)
				}
			}
			sendCompletions(ctx, t, c.Entries()[0], 16, 24)
		})
	}
}

// TestCompleteAnswersAfterEngineLoss stops an engine in the middle of its streams: its output stalls, it crashes, or it
// is killed.
func TestCompleteAnswersAfterEngineLoss(t *testing.T) {
	losses := map[string]func(ctx context.Context, e *bench.Engine) error{
		"mute":  func(ctx context.Context, e *bench.Engine) error { return bench.Post(ctx, e.Address, "/mute", nil) },
		"crash": func(ctx context.Context, e *bench.Engine) error { return bench.Post(ctx, e.Address, "/crash", nil) },
		"kill":  func(_ context.Context, e *bench.Engine) error { e.Kill(); return nil },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			c, ctx := startCluster(t, 1)
			var pending sync.WaitGroup
			pending.Go(func() { sendCompletions(ctx, t, c.Entries()[0], 16, 400) })
			before := c.Engines()[0].Stats().Completions
			if !bench.Wait(ctx, func() bool { return c.Engines()[0].Stats().Completions >= before+4 }) {
				t.Fatal("no work reached the engine")
			}
			if err := lose(ctx, c.Engines()[0]); err != nil {
				t.Fatal(err)
			}
			pending.Wait()
		})
	}
}

// answersWith reports whether an entry answers a completion with the given version.
func answersWith(ctx context.Context, t *testing.T, e *bench.Entry, version ident.Version) bool {
	t.Helper()
	a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody("which?", 2))
	return err == nil && a.Status == http.StatusOK && answerText(t, a) == fullAnswer("which?", version, 2)
}

// TestAnswerUsesOneVersion switches the served version while answers stream from engines that hold both versions. Some
// of the streams break; a resumed answer must not continue with tokens of the other version.
func TestAnswerUsesOneVersion(t *testing.T) {
	c, ctx := startCluster(t, 1)
	for _, e := range c.Engines() {
		order := fakes.Order{Action: "load", Model: "m", Version: "v2", Fence: 1}
		if err := bench.Post(ctx, e.Address, "/order", order); err != nil {
			t.Fatal(err)
		}
		if err := bench.SetFaults(ctx, e.Address, fakes.EngineFaults{DropShare: 0.3}); err != nil {
			t.Fatal(err)
		}
	}
	e := c.Entries()[0]
	startedOld := func() (n int) {
		for _, e := range c.Engines() {
			n += e.Stats().Started["v1"]
		}
		return n
	}
	before := startedOld()
	seen := map[ident.Version]int{}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for i := range 24 {
		prompt := fmt.Sprintf("prompt %d", i)
		pending.Go(func() {
			a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(prompt, 100))
			if err != nil || a.Status != http.StatusOK {
				return // A refused or abandoned answer is not checked.
			}
			for _, v := range []ident.Version{"v1", "v2"} {
				if answerText(t, a) == fullAnswer(prompt, v, 100) {
					mu.Lock()
					seen[v]++
					mu.Unlock()
					return
				}
			}
			t.Errorf("%s: the answer is not the complete answer of one version: %s", prompt, a.Body)
		})
		if i == 12 {
			if !bench.Wait(ctx, func() bool { return startedOld()-before >= 6 }) {
				t.Fatal("the engines did not start the first requests")
			}
			moved := strings.Replace(testRules, "version v1", "version v2", 1)
			if err := c.Apply(ctx, e, moved); err != nil {
				t.Fatal(err)
			}
			if !bench.Wait(ctx, func() bool { return answersWith(ctx, t, e, "v2") }) {
				t.Fatal("the entry does not answer with the new version")
			}
		}
	}
	pending.Wait()
	if seen["v1"] == 0 || seen["v2"] == 0 {
		t.Errorf("complete answers by version: %v", seen)
	}
}
