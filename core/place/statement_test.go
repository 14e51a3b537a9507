package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
)

// TestNoPathSendsToAnUpstreamThatMustGetNothing offers requests on every path on which one is sent, while the only upstream asks to back off,
// leaves, can't be reached, or is at its concurrency limit.
func TestNoPathSendsToAnUpstreamThatMustGetNothing(t *testing.T) {
	id := engineID(0)
	statements := map[string]func(now time.Time, b *bench){
		"nothing":  func(time.Time, *bench) {},
		"back off": func(now time.Time, b *bench) { b.fleet.Update(now, fleet.RejectedMsg{ID: id, Backoff: time.Minute}) },
		"leaving":  func(now time.Time, b *bench) { b.fleet.Update(now, fleet.LeavingMsg{ID: id}) },
		"isolated": func(now time.Time, b *bench) { b.fleet.Update(now, fleet.IsolatedMsg{ID: id, Isolated: true}) },
		"concurrency limit": func(now time.Time, b *bench) {
			b.fleet.Update(now, fleet.RejectionLimitMsg{ID: id, Rejections: conf.NamedLimit{Named: true}, At: now})
			b.place.Update(now, place.ConcurrencyLimitMsg{Upstream: id, Limit: 1, At: now})
			b.place.Update(now, place.PeerMsg{Peer: "other", Loads: []place.Load{{Upstream: id, Requests: 1}}})
		},
	}
	request := func(ticket place.Ticket, now time.Time) place.Need { return need(ticket, now, 100, "doc", time.Second) }
	paths := map[string]func(now time.Time, b *bench) []ident.Cmd{
		"arrival": func(now time.Time, b *bench) []ident.Cmd {
			return b.place.Update(now, place.ArriveMsg{Need: request(9, now)})
		},
		"crash suspect": func(now time.Time, b *bench) []ident.Cmd {
			n := request(9, now)
			n.Spread = "digest"
			return b.place.Update(now, place.ArriveMsg{Need: n})
		},
		"retry": func(now time.Time, b *bench) []ident.Cmd {
			return b.place.Update(now, place.RetryMsg{Ticket: 1, Outcome: place.Rejected})
		},
		"queue at a tick":    func(now time.Time, b *bench) []ident.Cmd { return b.place.Update(now, place.TickMsg{}) },
		"queue after an end": func(now time.Time, b *bench) []ident.Cmd { return b.place.Update(now, place.EndMsg{Ticket: 1}) },
		"check before the write": func(now time.Time, b *bench) []ident.Cmd {
			if b.place.StillEligible(now, 1) {
				return []ident.Cmd{place.SendCmd{}}
			}
			return nil
		},
	}
	got, want := map[string]bool{}, map[string]bool{}
	for statement, apply := range statements {
		for path, offer := range paths {
			name := fmt.Sprint(statement, "/", path)
			b, now := newBench(1, 100_000), start
			b.place.Update(now, place.ArriveMsg{Need: request(1, now)}) // It is in flight.
			if path == "queue at a tick" || path == "queue after an end" {
				b.fleet.Update(now, fleet.OrderedMsg{ID: id, Until: now.Add(time.Millisecond)})
				b.place.Update(now, place.ArriveMsg{Need: request(2, now)}) // It is queued.
				now = now.Add(2 * time.Millisecond)
			}
			apply(now, b)
			got[name] = len(sends(offer(now, b))) > 0
			// A request that was sent counts at its upstream, so that it stays within the concurrency limit.
			want[name] = statement == "nothing" || statement == "concurrency limit" && path == "check before the write"
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sent, by statement and path (-want +got):\n%s", diff)
	}
}
