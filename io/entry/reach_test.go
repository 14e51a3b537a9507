package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/poison"
	"cicadavalve/io/bench"
	"cicadavalve/io/peer"
)

// brokenFor is how long the links stay broken: longer than a loss counts without its confirmation.
const brokenFor = 4 * time.Second

// quarantines counts the requests in quarantine at an entry.
func quarantines(ctx context.Context, t *testing.T, e *bench.Entry) (n int) {
	t.Helper()
	var views []poison.View
	if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "quarantine", "", &views); err != nil {
		t.Fatal(err)
	}
	for _, v := range views {
		if v.Standing == "quarantined" {
			n++
		}
	}
	return n
}

// TestEntryWithoutLinksQuarantinesNothing breaks the links of one of two entries to all upstreams while it is sent the same request
// again and again. The request is sound, and must not come into quarantine for good at either entry.
func TestEntryWithoutLinksQuarantinesNothing(t *testing.T) {
	c, ctx := startPoisonCluster(t, 2)
	cut, sound := c.Entries()[0], c.Entries()[1]
	waitMember(ctx, t, c, cut)
	waitMember(ctx, t, c, sound)
	cut.BreakLinks()
	for until := time.Now().Add(brokenFor); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, err := bench.Call(ctx, cut, bench.Token, "/v1/completions", "", completionBody("sound", 4)); err != nil {
			t.Fatal(err)
		}
	}
	cut.RestoreLinks()
	for _, e := range c.Entries() {
		if diff := cmp.Diff(0, quarantines(ctx, t, e)); diff != "" {
			t.Errorf("%s: requests in quarantine (-want +got):\n%s", e.ID, diff)
			continue
		}
		if !bench.Wait(ctx, func() bool {
			a, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody("sound", 4))
			return err == nil && a.Status == http.StatusOK
		}) {
			t.Errorf("%s does not answer the request", e.ID)
		}
	}
}
