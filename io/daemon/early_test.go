package daemon

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
)

// TestStatementsToldBeforeTheListingCount hears from another entry what an incarnation says before its record arrives here.
func TestStatementsToldBeforeTheListingCount(t *testing.T) {
	type heard struct {
		Limited, RejectionLimited, Leaving bool
	}
	listings := map[string]struct {
		listedBefore, born int64
		after              time.Duration
	}{
		"listed before": {2, 2, 0},
		"listed later":  {0, 2, time.Second},
		"listed again":  {1, 2, time.Second},
		"older one":     {0, 1, time.Second},
		"too late":      {0, 2, 2 * earlyTTL},
	}
	got, all := map[string]heard{}, heard{true, true, true}
	for name, l := range listings {
		now := clock.Now()
		c := newFleet(Settings{}, 1, now)[0]
		if l.listedBefore > 0 {
			c.applyUpstream(now, upstream("u", l.listedBefore))
		}
		c.applyMessage(now, gossip.Message{
			ID: "other", Heartbeat: true,
			Limits:            []gossip.Limit{{Upstream: "u", Born: 2, Named: true, PerSecond: 3}},
			ConcurrencyLimits: []gossip.ConcurrencyLimit{{Upstream: "u", Born: 2, Rejections: 3, Limit: 3}},
			Leaving:           []gossip.Leaving{{Upstream: "u", Born: 2}},
		})
		now = now.Add(l.after)
		if l.born != l.listedBefore {
			c.applyUpstream(now, upstream("u", l.born))
		}
		u, _ := c.fleet.Get("u")
		got[name] = heard{c.fleet.Limit(now, "u").Named, c.fleet.RejectionLimit("u").Named, u.Draining}
	}
	want := map[string]heard{"listed before": all, "listed later": all, "listed again": all, "older one": {}, "too late": {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statements of an incarnation known here, by when it was listed (-want +got):\n%s", diff)
	}
}
