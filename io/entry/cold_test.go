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
	maxColdRequests = 2
	// callTimeout lets a caller abandon a call to a paused entry and go on with the next one.
	callTimeout = time.Second
)

func coldSettings(s *config.Settings) {
	s.Lease, s.LeaseMargin = config.Duration(2*time.Second), config.Duration(300*time.Millisecond)
	s.SlotHold, s.MaxColdDuration = config.Duration(time.Second), config.Duration(7*time.Second)
	s.ReportLag = config.Duration(300 * time.Millisecond)
	s.PingInterval = config.Duration(200 * time.Millisecond)
}

// sendUntil sends requests from several callers, each to the entries in turn, until the context ends.
func sendUntil(ctx context.Context, entries []*bench.Entry) {
	const callers = 12
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				prompt := fmt.Sprintf("prompt %d of %d", i, n)
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				_, _ = bench.Call(callCtx, entries[(i+n)%len(entries)], bench.Token, "/v1/completions", "", completionBody(prompt, 40))
				cancel()
			}
		})
	}
	running.Wait()
}

// TestColdUpstreamLimitIsNotExceeded crashes an engine under load. Meanwhile one of three entries is paused until the
// others have removed it, and a new one joins: the paused entry resumes with outdated slots of the cold engine.
func TestColdUpstreamLimitIsNotExceeded(t *testing.T) {
	rules := testRules + fmt.Sprintf("bears upstream engine-* cold %d  # asked by: test\n", maxColdRequests)
	c, ctx := startCluster(t, 3, bench.WithRules(rules), bench.WithSettings(coldSettings))
	s := engineSettings()
	s.ColdDuration, s.MaxColdRequests, s.BootDelay = 6*time.Second, maxColdRequests, time.Second
	fragile, err := c.AddEngine("dunedin", s)
	if err != nil {
		t.Fatal(err)
	}
	waitAdvised(ctx, t, c.Entries()...)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var loading sync.WaitGroup
	loading.Go(func() { sendUntil(loadCtx, c.Entries()) })
	waitCompletions := func(n int) bool {
		from := fragile.Stats().Completions
		return bench.Wait(ctx, func() bool { return fragile.Stats().Completions >= from+n })
	}
	if !waitCompletions(30) {
		t.Fatal("the engine got no requests")
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
	if !waitCompletions(30) {
		t.Fatal("the engine got no requests after the crash")
	}
	stop()
	loading.Wait()
	type violations struct {
		ColdCrashes int
		OverLimit   bool
	}
	got := fragile.Stats()
	if diff := cmp.Diff(violations{}, violations{got.ColdCrashes, got.MaxWhileCold > maxColdRequests}); diff != "" {
		t.Errorf("maximum of concurrent requests while cold %d (-want +got):\n%s", got.MaxWhileCold, diff)
	}
	t.Logf("%d completions, maximum of concurrent requests while cold %d", got.Completions, got.MaxWhileCold)
}
