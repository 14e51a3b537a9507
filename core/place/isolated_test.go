package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/place"
)

// TestBreaksOfALostLinkDoNotCountAgainstTheUpstream breaks requests off at an upstream that only this entry can't reach. Once the
// link is back, the upstream with the cached prompt is chosen as before.
func TestBreaksOfALostLinkDoNotCountAgainstTheUpstream(t *testing.T) {
	got, want := map[bool]bool{}, map[bool]bool{true: true, false: false}
	for isolated := range want {
		b, now, ticket := newBench(2, 200_000), start, place.Ticket(0)
		send := func(outcome place.Outcome) (chosen ident.UpstreamID) {
			ticket++
			for _, s := range sends(b.place.Update(now, place.ArriveMsg{Need: need(ticket, now, 2000, "doc", 300*time.Millisecond)})) {
				chosen = s.Upstream.ID
			}
			if outcome == place.Good {
				b.place.Update(now.Add(60*time.Millisecond), place.FirstByteMsg{Ticket: ticket})
			}
			b.fleet.Update(now, fleet.IsolatedMsg{ID: chosen, Isolated: isolated && outcome == place.Broken})
			b.place.Update(now.Add(70*time.Millisecond), place.EndMsg{Ticket: ticket, Outcome: outcome})
			b.fleet.Update(now, fleet.IsolatedMsg{ID: chosen})
			now = now.Add(100 * time.Millisecond)
			return chosen
		}
		first := send(place.Good)
		for range 3 {
			send(place.Broken)
		}
		got[isolated] = send(place.Good) == first
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("chosen again, by whether the link was lost (-want +got):\n%s", diff)
	}
}
