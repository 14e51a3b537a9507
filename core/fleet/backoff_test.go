package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
)

// TestNothingButItsEndShortensABackoff applies what may follow a rejection with a time of rest.
func TestNothingButItsEndShortensABackoff(t *testing.T) {
	const rest = 3 * time.Second
	start := time.Unix(1000, 0)
	later := start.Add(time.Second)
	record := func(born int64) ident.Msg {
		return fleet.ListedMsg{Upstream: conf.Upstream{ID: "u", Service: "app", Born: born}}
	}
	cases := map[string]ident.Msg{
		"nothing":                        fleet.AnsweredMsg{ID: "other"},
		"answer to an earlier request":   fleet.AnsweredMsg{ID: "u"},
		"rejection without a rest":       fleet.RejectedMsg{ID: "u", Born: 1},
		"rejection with a shorter rest":  fleet.RejectedMsg{ID: "u", Born: 1, Backoff: time.Second},
		"rejection by another boot":      fleet.RejectedMsg{ID: "u", Born: 2, Backoff: time.Hour},
		"end of an order":                fleet.OrderedMsg{ID: "u", Until: later},
		"record of the same incarnation": record(1),
		"record of a new incarnation":    record(2),
	}
	got, want := map[string][]bool{}, map[string][]bool{}
	for name, msg := range cases {
		m := fleet.NewModel()
		m.Update(start, record(1))
		m.Update(start, fleet.RejectedMsg{ID: "u", Born: 1, Backoff: rest})
		m.Update(later, msg)
		for _, at := range []time.Duration{rest - time.Millisecond, rest} {
			got[name] = append(got[name], m.Usable(start.Add(at), "u"))
		}
		want[name] = []bool{false, true}
	}
	want["record of a new incarnation"] = []bool{true, true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("usable right before and at the end of the rest (-want +got):\n%s", diff)
	}
}
