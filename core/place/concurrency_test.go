package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/place"
)

// sendAll offers requests at one moment to each of a number of entries that know nothing of each other's, and returns how many are sent
// to an engine with 16 slots that tolerates few rejections.
func sendAll(entries, requests int, prepare func(now time.Time, b *bench)) (sent int) {
	ids := make([]string, entries)
	for i := range ids {
		ids[i] = fmt.Sprint("entry", i)
	}
	for _, id := range ids {
		b := newBench(1, 100_000_000)
		b.place.SetMembers(place.Members{Self: id, Sharers: ids, Zone: "z", ReportInterval: time.Second})
		b.fleet.Update(start, fleet.RejectionLimitMsg{ID: engineID(0), Rejections: conf.NamedLimit{Named: true, PerSecond: 4}, At: start})
		prepare(start, b)
		for n := range requests {
			sent += len(sends(b.place.Update(start, place.ArriveMsg{Need: need(place.Ticket(n+1), start, 100, "doc", time.Second)})))
		}
	}
	return sent
}

// TestNewUpstreamGetsTheLimitOfItsService lists an upstream that has not answered yet, after another one of its service was left with
// half of its slots by a rejection.
func TestNewUpstreamGetsTheLimitOfItsService(t *testing.T) {
	got := map[bool]int{}
	for _, learned := range []bool{false, true} {
		b := newBench(1, 100_000_000)
		b.fleet.Update(start, fleet.RejectionLimitMsg{ID: engineID(0), Rejections: conf.NamedLimit{Named: true, PerSecond: 4}, At: start})
		if learned {
			b.place.Update(start, place.ConcurrencyLimitMsg{Upstream: engineID(0), Limit: 8, At: start})
		}
		u, _ := b.fleet.Get(engineID(0))
		b.fleet.Update(start, fleet.RemovedMsg{ID: u.ID})
		u.ID = "new"
		b.fleet.Update(start, fleet.ListedMsg{Upstream: u})
		for n := range 40 {
			got[learned] += len(sends(b.place.Update(start, place.ArriveMsg{Need: need(place.Ticket(n+1), start, 100, "doc", time.Second)})))
		}
	}
	if diff := cmp.Diff(map[bool]int{false: 16, true: 8}, got); diff != "" {
		t.Errorf("requests sent at once, by whether a rejection is known (-want +got):\n%s", diff)
	}
}

// TestEntriesShareTheConcurrencyLimitOfAnUpstream lets entries send all at once, before and after another entry told of a rejection.
func TestEntriesShareTheConcurrencyLimitOfAnUpstream(t *testing.T) {
	got, want := map[string][]int{}, map[string][]int{"3 entries": {16, 4}, "7 entries": {16, 4}, "16 entries": {16, 4}}
	for name := range want {
		entries := 0
		if _, err := fmt.Sscanf(name, "%d", &entries); err != nil {
			t.Fatal(err)
		}
		for _, limit := range []float64{0, 4} {
			got[name] = append(got[name], sendAll(entries, 20, func(now time.Time, b *bench) {
				if limit > 0 {
					b.place.Update(now, place.ConcurrencyLimitMsg{Upstream: engineID(0), Limit: limit, At: now})
				}
			}))
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests sent at once without and with a rejection that left a limit of 4 (-want +got):\n%s", diff)
	}
}
