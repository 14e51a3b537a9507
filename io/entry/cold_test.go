package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
)

const (
	coldBears = 2
	// callPatience lets callers leave a paused entry.
	callPatience = time.Second
)

func coldSettings(s *config.Settings) {
	s.Lease, s.LeaseMargin = config.Duration(2*time.Second), config.Duration(300*time.Millisecond)
	s.SlotHold, s.MaxColdDuration = config.Duration(time.Second), config.Duration(7*time.Second)
	s.ReportLag = config.Duration(300 * time.Millisecond)
	s.PingInterval = config.Duration(200 * time.Millisecond)
}

// askUntil sends requests to the entries in turn from several callers until the context ends.
func askUntil(ctx context.Context, entries []*bench.Entry) {
	const callers = 12
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				prompt := fmt.Sprintf("prompt %d of %d", i, n)
				calling, cancel := context.WithTimeout(ctx, callPatience)
				_, _ = bench.Call(calling, entries[(i+n)%len(entries)], bench.Token, "/v1/completions", "", completionBody(prompt, 40))
				cancel()
			}
		})
	}
	running.Wait()
}

// TestColdUpstreamGetsNoMoreThanItBears crashes an engine under load from three entries, of which one is
// paused until the others have removed it, and a new one takes its place.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	rules := testRules + fmt.Sprintf("bears upstream engine-* cold %d  # asked by: test\n", coldBears)
	c, ctx := startCluster(t, 3, bench.WithRules(rules), bench.WithSettings(coldSettings))
	s := engineSettings()
	s.ColdDuration, s.MaxColdRequests, s.BootDelay = 6*time.Second, coldBears, time.Second
	fragile, err := c.AddEngine("dunedin", s)
	if err != nil {
		t.Fatal(err)
	}
	waitAdvised(ctx, t, c.Entries()...)
	load, stop := context.WithCancel(ctx)
	defer stop()
	var loading sync.WaitGroup
	loading.Go(func() { askUntil(load, c.Entries()) })
	more := func(n int) bool {
		from := fragile.Stats().Completions
		return bench.Wait(ctx, func() bool { return fragile.Stats().Completions >= from+n })
	}
	if !more(30) {
		t.Fatal("the engine got no work")
	}
	if err := bench.Post(ctx, fragile.Address, "/crash", struct{}{}); err != nil {
		t.Fatal(err)
	}
	paused := c.Entries()[1]
	paused.Pause()
	if _, err := c.AddNamedEntry(ident.EntryID("entry-new"), "dunedin"); err != nil {
		t.Fatal(err)
	}
	if !bench.Wait(ctx, func() bool { return !advises(ctx, c.Entries()[0], paused) }) {
		t.Fatal("the paused entry was not removed")
	}
	paused.Resume()
	if !more(30) {
		t.Fatal("the engine got no work after the crash")
	}
	stop()
	loading.Wait()
	type worst struct {
		Falls int
		Over  bool
	}
	got := fragile.Stats()
	if diff := cmp.Diff(worst{}, worst{got.ColdCrashes, got.MaxWhileCold > coldBears}); diff != "" {
		t.Errorf("most while cold %d (-want +got):\n%s", got.MaxWhileCold, diff)
	}
	t.Logf("%d completions, most while cold %d", got.Completions, got.MaxWhileCold)
}
