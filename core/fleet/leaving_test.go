package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
)

// TestLeavingHoldsForOneIncarnation lets an upstream say that it leaves and then be listed as ready, as itself and as a new incarnation.
func TestLeavingHoldsForOneIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	m := fleet.NewModel()
	list := func(born int64) {
		m.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "u", Service: "app", Born: born}})
	}
	var got []bool
	list(2)
	m.Update(now, fleet.LeavingMsg{ID: "u", Born: 1}) // An earlier incarnation.
	got = append(got, m.Usable(now, "u"))
	m.Update(now, fleet.LeavingMsg{ID: "u", Born: 2})
	got = append(got, m.Usable(now, "u"))
	list(2)
	m.Update(now, fleet.AnsweredMsg{ID: "u"})
	got = append(got, m.Usable(now, "u"))
	list(3)
	got = append(got, m.Usable(now, "u"))
	if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
		t.Errorf("usable (-want +got):\n%s", diff)
	}
}

// TestOnlyTheEntryThatGotTheAnswerTellsOfLeaving counts how often the others are told.
func TestOnlyTheEntryThatGotTheAnswerTellsOfLeaving(t *testing.T) {
	got := map[bool]int{}
	for _, heard := range []bool{false, true} {
		now := time.Unix(1000, 0)
		m := fleet.NewModel()
		m.Update(now, fleet.ListedMsg{Upstream: conf.Upstream{ID: "u", Service: "app", Born: 1}})
		m.Update(now, fleet.LeavingMsg{ID: "u", Born: 1, Heard: heard})
		for range 100 {
			got[heard] += len(m.TakeLeaving(now, 1))
			now = now.Add(50 * time.Millisecond)
		}
	}
	if diff := cmp.Diff(map[bool]int{false: 5, true: 0}, got); diff != "" {
		t.Errorf("told by whether it was heard (-want +got):\n%s", diff)
	}
}
