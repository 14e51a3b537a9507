package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

const drainMosgiel = testRules + "drain az mosgiel  # asked by: test\n"

// startZones starts two entries, two engines in dunedin and two in mosgiel.
func startZones(t *testing.T) (*bench.Cluster, context.Context) {
	t.Helper()
	c, ctx := startCluster(t, 2)
	for range 2 {
		if _, err := c.AddEngine("mosgiel", engineSettings()); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range c.Entries() {
		waitRouting(ctx, t, c, e)
	}
	return c, ctx
}

func completions(engines []*bench.Engine) (n int) {
	for _, e := range engines {
		n += e.Stats().Completions
	}
	return n
}

// applyRules applies a rules file and waits until it is in force on every entry.
func applyRules(ctx context.Context, t *testing.T, c *bench.Cluster, text string) {
	t.Helper()
	began := time.Now()
	if err := c.Apply(ctx, c.Entries()[0], text); err != nil {
		t.Fatal(err)
	}
	for _, e := range c.Entries() {
		if !bench.Wait(ctx, func() bool {
			status, err := c.Status(ctx, e)
			return err == nil && status.Text == text
		}) {
			t.Fatal("the rules file did not come into force")
		}
	}
	t.Logf("in force on every entry after %v", time.Since(began))
}

// loadEveryEntry sends requests to all entries concurrently; each answer must be complete.
func loadEveryEntry(ctx context.Context, t *testing.T, c *bench.Cluster, requests int) {
	t.Helper()
	var pending sync.WaitGroup
	for _, e := range c.Entries() {
		pending.Go(func() { sendCompletions(ctx, t, e, requests, 8) })
	}
	pending.Wait()
}

// TestDrainedZoneGetsNoNewWork checks that the engines of a drained zone get no requests, also while streams break in
// the other zone, the log is down after the drain, or the VM list is no longer updated.
func TestDrainedZoneGetsNoNewWork(t *testing.T) {
	faults := map[string]func(ctx context.Context, c *bench.Cluster) error{
		"calm": func(context.Context, *bench.Cluster) error { return nil },
		"log down": func(ctx context.Context, c *bench.Cluster) error {
			return bench.SetFaults(ctx, c.LogURL(), fakes.LogFaults{Outage: true})
		},
		"list frozen": func(ctx context.Context, c *bench.Cluster) error {
			return bench.SetFaults(ctx, c.ListURL(), fakes.ListFaults{Frozen: true})
		},
		"streams break": func(ctx context.Context, c *bench.Cluster) error {
			return bench.SetFaults(ctx, c.Engines()[0].Address, fakes.EngineFaults{DropShare: 1})
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			c, ctx := startZones(t)
			applyRules(ctx, t, c, drainMosgiel)
			if err := inject(ctx, c); err != nil {
				t.Fatal(err)
			}
			drained := c.Engines()[2:]
			before := completions(drained)
			loadEveryEntry(ctx, t, c, 24)
			if diff := cmp.Diff(before, completions(drained)); diff != "" {
				t.Errorf("requests to the drained zone (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUndrainedZoneGetsWork drains a zone, removes the drain, and waits until every engine gets requests.
func TestUndrainedZoneGetsWork(t *testing.T) {
	c, ctx := startZones(t)
	applyRules(ctx, t, c, drainMosgiel)
	applyRules(ctx, t, c, testRules)
	for _, e := range c.Entries() {
		waitRouting(ctx, t, c, e)
	}
}

// TestLeavingUpstreamGetsNoNewWork marks an engine as leaving in the VM list, waits for a round of requests that sends
// it none, and checks that later rounds do not either.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	c, ctx := startZones(t)
	leaving := c.Engines()[1:2]
	if err := bench.Post(ctx, c.ListURL(), "/leaving", sched.Upstream{ID: leaving[0].ID, Leaving: true}); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if !bench.Wait(ctx, func() bool {
		before := completions(leaving)
		loadEveryEntry(ctx, t, c, 12)
		return completions(leaving) == before
	}) {
		t.Fatal("the leaving engine still gets requests")
	}
	t.Logf("no new requests after %v", time.Since(began))
	before := completions(leaving)
	for range 3 {
		loadEveryEntry(ctx, t, c, 12)
	}
	if diff := cmp.Diff(before, completions(leaving)); diff != "" {
		t.Errorf("requests to the leaving engine (-want +got):\n%s", diff)
	}
}

// TestDrainMovesDeferredWork drains a zone that runs long deferred requests. They must move to another zone and get
// complete answers.
func TestDrainMovesDeferredWork(t *testing.T) {
	c, ctx := startZones(t)
	e := c.Entries()[0]
	drained := c.Engines()[2:]
	before := completions(drained)
	const tokens = 3000
	var pending sync.WaitGroup
	for i := range 12 {
		prompt := fmt.Sprintf("overnight %d", i)
		pending.Go(func() {
			a, err := bench.CallWithClass(ctx, e, bench.Token, ident.Deferred, completionBody(prompt, tokens))
			if err != nil || a.Status != http.StatusOK {
				t.Errorf("%s: status %d, error %v", prompt, a.Status, err)
				return
			}
			if diff := cmp.Diff(fullAnswer(prompt, "v1", tokens), answerText(t, a)); diff != "" {
				t.Errorf("%s: answer differs", prompt)
			}
		})
	}
	bench.Wait(ctx, func() bool { return completions(drained) > before })
	applyRules(ctx, t, c, drainMosgiel)
	emptied := bench.Wait(ctx, func() bool {
		running := 0
		for _, engine := range drained {
			running += engine.Running()
		}
		return running == 0
	})
	pending.Wait()
	moved := e.Meter().Snapshot().Counters["attempts_cancelled"]
	if !emptied || moved == 0 {
		t.Errorf("the drained zone became empty: %t; %d attempts were cancelled", emptied, moved)
	}
}
