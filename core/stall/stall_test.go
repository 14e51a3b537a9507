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

// TestWhatArrivedInAnEarlierStallKeepsItsAge stalls a process for 4 s and, 100 ms after it woke, for 300 ms. What it reads then
// may have arrived while it stood still for the first time.
func TestWhatArrivedInAnEarlierStallKeepsItsAge(t *testing.T) {
	m, lastRun := stall.NewModel(stall.DefaultThreshold), time.Unix(1000, 0)
	now := lastRun
	for _, pause := range []time.Duration{0, 4 * time.Second, 100 * time.Millisecond, 300 * time.Millisecond} {
		now = now.Add(pause)
		m.Update(now, stall.TickMsg{})
	}
	if diff := cmp.Diff(lastRun, m.ArrivedSince(now.Add(50*time.Millisecond))); diff != "" {
		t.Errorf("earliest arrival (-want +got):\n%s", diff)
	}
}

// TestStallsInARowDoNotAgeArrivalsWithoutBound lets a starved process stand still for 300 ms after every 200 ms, for 20 s. It has read what
// arrived in a stall once it has run for half a second in all.
func TestStallsInARowDoNotAgeArrivalsWithoutBound(t *testing.T) {
	m, now := stall.NewModel(stall.DefaultThreshold), start
	worst := time.Duration(0)
	for range 40 {
		for range 8 {
			now = now.Add(25 * time.Millisecond)
			m.Update(now, stall.TickMsg{})
			worst = max(worst, now.Sub(m.ArrivedSince(now)))
		}
		now = now.Add(300 * time.Millisecond)
		m.Update(now, stall.TickMsg{})
	}
	if most := 4*300*time.Millisecond + 500*time.Millisecond; worst > most {
		t.Errorf("what arrives counts as up to %v old, at most %v can be", worst, most)
	}
}
