package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/poison"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
	"cicadavalve/io/peer"
)

func crashes(c *bench.Cluster) (n int) {
	for _, e := range c.Engines() {
		n += e.Stats().Crashes
	}
	return n
}

// startPoisonCluster starts entries and six engines, and waits until each entry sends requests to every engine.
func startPoisonCluster(t *testing.T, entries int) (*bench.Cluster, context.Context) {
	t.Helper()
	c, ctx := startCluster(t, entries)
	for range 4 {
		if _, err := c.AddEngine("mosgiel", engineSettings()); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range c.Entries() {
		waitRouting(ctx, t, c, e)
	}
	return c, ctx
}

// waitRouting waits until every engine has completed a request since the call. It keeps sending requests to the entry.
func waitRouting(ctx context.Context, t *testing.T, c *bench.Cluster, e *bench.Entry) {
	t.Helper()
	before := map[*bench.Engine]int{}
	for _, engine := range c.Engines() {
		before[engine] = engine.Stats().Completions
	}
	n := 0
	if !bench.Wait(ctx, func() bool {
		n++
		_, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(fmt.Sprint("to each engine ", n), 1))
		for engine, done := range before {
			if engine.Stats().Completions == done {
				return false
			}
		}
		return err == nil
	}) {
		t.Fatal("the entry does not send requests to every engine")
	}
}

// sendPoison sends the crashing prompt the given number of times, to the entries in turn, and returns the last refusal.
func sendPoison(ctx context.Context, t *testing.T, c *bench.Cluster, times int) (code string, notRun bool) {
	t.Helper()
	for i := range times {
		e := c.Entries()[i%len(c.Entries())]
		a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(fakes.CrashMarker, 4))
		if err != nil {
			t.Fatal(err)
		}
		if a.Status == http.StatusOK {
			t.Fatalf("the crashing prompt got an answer: %s", a.Body)
		}
		code, notRun = a.Refusal()
	}
	return code, notRun
}

// TestPoisonIsQuarantinedOnEveryEntry sends a crashing prompt twelve times to three entries, concurrently with other
// requests. At most MaxLosses upstreams may be lost, and every other request must get its complete answer.
func TestPoisonIsQuarantinedOnEveryEntry(t *testing.T) {
	c, ctx := startPoisonCluster(t, 3)
	var stopped atomic.Bool
	var pending sync.WaitGroup
	for i := range 6 {
		e := c.Entries()[i%3]
		pending.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				prompt := fmt.Sprintf("innocent %d of %d", n, i)
				a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(prompt, 60))
				if err != nil || a.Status != http.StatusOK {
					t.Errorf("%s: status %d, body %s, error %v", prompt, a.Status, a.Body, err)
					return
				}
				if diff := cmp.Diff(fullAnswer(prompt, "v1", 60), answerText(t, a)); diff != "" {
					t.Errorf("%s (-want +got):\n%s", prompt, diff)
				}
			}
		})
	}
	code, notRun := sendPoison(ctx, t, c, 12)
	stopped.Store(true)
	pending.Wait()
	if n := crashes(c); n > poison.MaxLosses {
		t.Errorf("%d upstreams were lost, the bound is %d", n, poison.MaxLosses)
	}
	if diff := cmp.Diff([]any{"quarantined", true}, []any{code, notRun}); diff != "" {
		t.Errorf("last refusal (-want +got):\n%s", diff)
	}
}

// TestPoisonIsQuarantinedDuringLogOutage sends a crashing prompt to one entry while the log is unavailable.
func TestPoisonIsQuarantinedDuringLogOutage(t *testing.T) {
	c, ctx := startPoisonCluster(t, 1)
	if err := bench.SetFaults(ctx, c.LogURL(), fakes.LogFaults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	code, _ := sendPoison(ctx, t, c, 6)
	if n := crashes(c); n > poison.MaxLosses {
		t.Errorf("%d upstreams were lost, the bound is %d", n, poison.MaxLosses)
	}
	if diff := cmp.Diff("quarantined", code); diff != "" {
		t.Errorf("last refusal (-want +got):\n%s", diff)
	}
}

// TestReleasedRequestRunsAgain releases a quarantined request through the rules. Every entry must end its quarantine.
func TestReleasedRequestRunsAgain(t *testing.T) {
	c, ctx := startPoisonCluster(t, 3)
	sendPoison(ctx, t, c, 6)
	views := func(e *bench.Entry) (v []poison.View) {
		if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "quarantine", "", &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	held := views(c.Entries()[0])
	if len(held) != 1 || held[0].Standing != "quarantined" {
		t.Fatalf("before the release: %+v", held)
	}
	lost := crashes(c)
	applyRules(ctx, t, c, testRules+"release request "+string(held[0].Digest)+"  # asked by: test\n")
	for _, e := range c.Entries() {
		if !bench.Wait(ctx, func() bool { return len(views(e)) == 0 }) {
			t.Fatalf("%s still has the request in quarantine", e.ID)
		}
	}
	if sendPoison(ctx, t, c, 1); crashes(c) == lost {
		t.Error("the released request did not run again")
	}
}
