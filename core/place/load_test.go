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

// TestInFlightCountsNewestReportOfEachPeer lets peers report, stop reporting and upstreams be removed and listed, and compares the
// running sums with a count over the newest message of each peer, whether the upstream was listed at the time of the message or not.
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
				if _, listed := b.fleet.Get(id); !listed {
					continue
				}
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
					r.loads[engineID(e)] = n
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
						if _, listed := b.fleet.Get(id); listed {
							want[id] += n
						}
					}
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("requests by upstream (-want +got):\n%s", diff)
			}
		}
	})
}

// TestLoadOfRemovedUpstreamIsNotTakenFromItsSuccessor removes an upstream while a request is under way there, and lists it
// again: the end of the request must not be counted against the load of the upstream that returned.
func TestLoadOfRemovedUpstreamIsNotTakenFromItsSuccessor(t *testing.T) {
	b := newBench(1, 200_000)
	id := engineID(0)
	listed, _ := b.fleet.Get(id)
	b.place.Update(start, place.ArriveMsg{Need: need(1, start, 800, "doc", 800*time.Millisecond)})
	for _, cmd := range b.fleet.Update(start, fleet.RemovedMsg{ID: id}) {
		b.place.Update(start, cmd)
	}
	b.fleet.Update(start, fleet.ListedMsg{Upstream: listed})
	b.place.Update(start, place.ArriveMsg{Need: need(2, start, 800, "doc", 800*time.Millisecond)})
	got := []int{b.place.InFlight(start, id)}
	for ticket := range place.Ticket(2) {
		b.place.Update(start, place.FirstByteMsg{Ticket: ticket + 1})
		b.place.Update(start, place.EndMsg{Ticket: ticket + 1})
		got = append(got, b.place.InFlight(start, id))
	}
	if diff := cmp.Diff([]int{1, 1, 0}, got); diff != "" {
		t.Errorf("requests in flight after each step (-want +got):\n%s", diff)
	}
}
