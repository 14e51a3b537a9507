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

// startZones runs two entries before two engines in dunedin and two in mosgiel.
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

// apply puts a file in force on every entry.
func apply(ctx context.Context, t *testing.T, c *bench.Cluster, text string) {
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
			t.Fatal("the file did not come into force")
		}
	}
	t.Logf("in force on every entry after %v", time.Since(began))
}

// loadAll sends requests to every entry, a few at once; the answers must be whole.
func loadAll(ctx context.Context, t *testing.T, c *bench.Cluster, requests int) {
	t.Helper()
	var pending sync.WaitGroup
	for _, e := range c.Entries() {
		pending.Go(func() { askMany(ctx, t, e, requests, 8) })
	}
	pending.Wait()
}

// TestDrainedZoneGetsNoNewWork counts at the engines of a drained zone, while streams break
// in the other zone, the log goes down after the order and the VM list stands still.
func TestDrainedZoneGetsNoNewWork(t *testing.T) {
	troubles := map[string]func(ctx context.Context, c *bench.Cluster) error{
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
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			c, ctx := startZones(t)
			apply(ctx, t, c, drainMosgiel)
			if err := trouble(ctx, c); err != nil {
				t.Fatal(err)
			}
			drained := c.Engines()[2:]
			before := completions(drained)
			loadAll(ctx, t, c, 24)
			if diff := cmp.Diff(before, completions(drained)); diff != "" {
				t.Errorf("requests at the drained zone (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDrainedZoneComesBack takes the drain back and waits for work in the zone.
func TestDrainedZoneComesBack(t *testing.T) {
	c, ctx := startZones(t)
	apply(ctx, t, c, drainMosgiel)
	apply(ctx, t, c, testRules)
	for _, e := range c.Entries() {
		waitRouting(ctx, t, c, e)
	}
}

// TestLeavingUpstreamGetsNoNewWork marks an engine as leaving on the list, waits until a
// round of requests passes it by, and counts in the rounds that follow.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	c, ctx := startZones(t)
	leaving := c.Engines()[1:2]
	if err := bench.Post(ctx, c.ListURL(), "/leaving", sched.Upstream{ID: leaving[0].ID, Leaving: true}); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if !bench.Wait(ctx, func() bool {
		before := completions(leaving)
		loadAll(ctx, t, c, 12)
		return completions(leaving) == before
	}) {
		t.Fatal("the leaving engine goes on to get work")
	}
	t.Logf("no new work after %v", time.Since(began))
	before := completions(leaving)
	for range 3 {
		loadAll(ctx, t, c, 12)
	}
	if diff := cmp.Diff(before, completions(leaving)); diff != "" {
		t.Errorf("requests at the leaving engine (-want +got):\n%s", diff)
	}
}

// TestDrainMovesDeferredWork drains the zone of long deferred answers, which must end whole elsewhere.
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
			if diff := cmp.Diff(wholeAnswer(prompt, "v1", tokens), answerText(t, a)); diff != "" {
				t.Errorf("%s: answer differs", prompt)
			}
		})
	}
	bench.Wait(ctx, func() bool { return completions(drained) > before })
	apply(ctx, t, c, drainMosgiel)
	left := bench.Wait(ctx, func() bool {
		running := 0
		for _, engine := range drained {
			running += engine.Running()
		}
		return running == 0
	})
	pending.Wait()
	moved := e.Meter().Snapshot().Counters["attempts_cancelled"]
	if !left || moved == 0 {
		t.Errorf("the zone is empty: %v; %d attempts were moved", left, moved)
	}
}
