package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
)

// TestInFlightCountsNewestReportOfEachPeer lets peers report, stop reporting and upstreams be removed, and compares the
// running sums with a count over the newest message of each peer.
func TestInFlightCountsNewestReportOfEachPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines, stale = 4, 1200 * time.Millisecond
		type report struct {
			at    time.Time
			loads map[ident.UpstreamID]int
		}
		b := newBench(engines, 1<<20)
		reports, now := map[string]report{}, start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := engineID(rapid.IntRange(0, engines-1).Draw(t, "engine"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				for _, cmd := range b.fleet.Update(now, fleet.RemovedMsg{ID: id}) {
					b.place.Update(now, cmd)
				}
				for _, r := range reports {
					delete(r.loads, id)
				}
			case 1:
				b.fleet.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: id, Service: "llm", Address: string(id), Slots: 16}})
			default:
				peer := fmt.Sprint("peer", rapid.IntRange(0, 3).Draw(t, "peer"))
				msg, r := place.PeerMsg{Peer: peer}, report{now, map[ident.UpstreamID]int{}}
				for e := range engines {
					n := rapid.IntRange(0, 3).Draw(t, "requests")
					msg.Loads = append(msg.Loads, place.Load{Upstream: engineID(e), Requests: n})
					if _, listed := b.fleet.Get(engineID(e)); listed {
						r.loads[engineID(e)] = n
					}
				}
				b.place.Update(now, msg)
				reports[peer] = r
			}
			want, got := map[ident.UpstreamID]int{}, map[ident.UpstreamID]int{}
			for e := range engines {
				got[engineID(e)], want[engineID(e)] = b.place.InFlight(now, engineID(e)), 0
			}
			for _, r := range reports {
				if now.Sub(r.at) < stale {
					for id, n := range r.loads {
						want[id] += n
					}
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("requests by upstream (-want +got):\n%s", diff)
			}
		}
	})
}
