package stall_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/stall"
)

var start = time.Unix(1000, 0)

// TestStalledProcessKnowsHowOldArrivalsMayBe ticks every 25 ms, but for 3 s in between.
func TestStalledProcessKnowsHowOldArrivalsMayBe(t *testing.T) {
	m := stall.NewModel(stall.DefaultThreshold)
	age := func(now time.Time) time.Duration { return now.Sub(m.ArrivedSince(now)) }
	tick := func(now time.Time) []ident.Cmd { return m.Update(now, stall.TickMsg{}) }
	before := age(start)
	for i := range 40 {
		if cmds := tick(start.Add(time.Duration(i) * 25 * time.Millisecond)); len(cmds) > 0 {
			t.Fatalf("stalled: %v", cmds)
		}
	}
	last := start.Add(39 * 25 * time.Millisecond)
	running := age(last.Add(20 * time.Millisecond))
	woken := last.Add(3 * time.Second)
	unticked := age(woken)
	cmds := tick(woken)
	settling := age(woken.Add(100 * time.Millisecond))
	for i := range 40 {
		tick(woken.Add(time.Duration(i) * 25 * time.Millisecond))
	}
	settled := age(woken.Add(time.Second))
	got := []any{before, running, unticked, cmds, settling, settled}
	want := []any{
		time.Duration(0), time.Duration(0), 3 * time.Second, []ident.Cmd{stall.StalledCmd{From: last, For: 3 * time.Second}},
		3100 * time.Millisecond, time.Duration(0),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ages of arrivals before the first tick, between ticks, before the late tick; its commands; ages soon after and later (-want +got):\n%s", diff)
	}
}
