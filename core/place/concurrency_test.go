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

// TestLoadsOfUpstreamsListedLaterCount hears the load of another entry at an upstream before the upstream is listed here.
func TestLoadsOfUpstreamsListedLaterCount(t *testing.T) {
	got := map[string]int{}
	load := place.PeerMsg{Peer: "other", Loads: []place.Load{{Upstream: "new", Requests: 15}}}
	for name, last := range map[string]place.PeerMsg{
		"reported once":      load,
		"reported again":     load,
		"reported gone":      {Peer: "other"},
		"reported by nobody": {Peer: "another"},
	} {
		b, now := newBench(1, 100_000_000), start
		u, _ := b.fleet.Get(engineID(0))
		b.fleet.Update(now, fleet.RemovedMsg{ID: u.ID})
		u.ID = "new"
		if name != "reported by nobody" {
			b.place.Update(now, load)
		}
		if name == "reported gone" {
			b.place.Update(now, last)
		}
		b.fleet.Update(now, fleet.ListedMsg{Upstream: u})
		b.fleet.Update(now, fleet.RejectionLimitMsg{ID: u.ID, Rejections: conf.NamedLimit{Named: true, PerSecond: 4}, At: now})
		if name == "reported again" {
			b.place.Update(now, last)
		}
		for n := range 20 {
			got[name] += len(sends(b.place.Update(now, place.ArriveMsg{Need: need(place.Ticket(n+1), now, 100, "doc", time.Second)})))
		}
		b.place.Update(now, place.PeerMsg{Peer: "other"})
		if inFlight := b.place.InFlight(now, u.ID); inFlight != got[name] {
			t.Errorf("%s: %d requests in flight after the other entry's have ended, want %d", name, inFlight, got[name])
		}
	}
	want := map[string]int{"reported once": 1, "reported again": 1, "reported gone": 16, "reported by nobody": 16}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests sent to an upstream with 16 slots, 15 of them taken by another entry (-want +got):\n%s", diff)
	}
}
