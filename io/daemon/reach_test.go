package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/reach"
	"cicadavalve/io/relay"
)

// exchange passes time in steps of 50 ms, in which the entries exchange heartbeats. Probes of an upstream by an entry succeed if
// reaches says so.
func exchange(fleet []*Controller, now time.Time, d time.Duration, reaches func(entry int, id ident.UpstreamID) bool) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for i, from := range fleet {
			m, _ := from.message(now)
			for j, to := range fleet {
				if i != j {
					to.applyMessage(now, m)
				}
			}
			from.Tick(now)
			for len(from.probes) > 0 {
				u := <-from.probes
				from.observeProbe(now, u.ID, now, reaches(i, u.ID))
			}
		}
	}
	return now
}

// TestRefusedConnectionsOfACutEntryConfirmNoLosses breaks the attempts of a request off at upstreams that then refuse connections of the
// entry. Only if no entry reaches them have they crashed.
func TestRefusedConnectionsOfACutEntryConfirmNoLosses(t *testing.T) {
	got := map[string]bool{}
	want := map[string]bool{
		"others reach them": false, "others reach them and many more": false, "nobody reaches them": true, "nobody reaches them but others reach more": true,
	}
	for name := range want {
		now := time.Now()
		fleet := newFleet(Settings{}, 3, now)
		for i := range 2 {
			id := ident.UpstreamID(fmt.Sprint("u", i))
			for _, d := range fleet {
				d.applyUpstream(now, upstream(id, 1))
			}
			d := fleet[0]
			d.mu.Lock()
			d.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now})
			d.observeAttempt(now, relay.Break{Upstream: id, Born: 1, SentAt: now, Unsent: true, Refused: true})
			d.mu.Unlock()
		}
		// Other entries are asked about these first.
		more := map[string]int{"others reach them and many more": 200, "nobody reaches them but others reach more": 5}[name]
		for i := range more {
			id := ident.UpstreamID(fmt.Sprintf("a%d", i))
			for _, d := range fleet {
				d.applyUpstream(now, upstream(id, 1))
			}
			fleet[0].observeProbe(now, id, now, false)
		}
		now = exchange(fleet, now, 3*time.Second, func(entry int, id ident.UpstreamID) bool {
			return entry > 0 && (id < "u" || strings.HasPrefix(name, "others"))
		})
		// A loss without confirmation stops to count after this time.
		fleet[0].poison.Tick(now.Add(time.Minute))
		fleet[0].handleEvidence(now)
		got[name] = isSuspect(fleet[0], "d")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("suspect after two refusals (-want +got):\n%s", diff)
	}
}

// TestFrozenEntryDoesNotTakeItselfForCutOff lets the attempts of an entry to connect fail, after a freeze and without one.
func TestFrozenEntryDoesNotTakeItselfForCutOff(t *testing.T) {
	got, want := map[bool]int{}, map[bool]int{true: 0, false: 3}
	for frozen := range want {
		now := time.Now()
		fleet := newFleet(Settings{}, 3, now)
		d := fleet[0]
		for i := range 3 {
			for _, d := range fleet {
				d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("u", i)), 1))
			}
		}
		now = exchange(fleet, now, time.Second, func(int, ident.UpstreamID) bool { return true })
		sentAt := now
		if frozen {
			now = now.Add(3 * time.Second)
			d.Tick(now)
		}
		d.mu.Lock()
		for i := range 3 {
			d.observeAttempt(now, relay.Break{Upstream: ident.UpstreamID(fmt.Sprint("u", i)), Born: 1, SentAt: sentAt, Unsent: true})
		}
		got[frozen] = d.reach.Failing()
		d.mu.Unlock()
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("links that fail, by whether it was frozen (-want +got):\n%s", diff)
	}
}

// TestPartitionedEntryLeavesItsDuties takes an entry's links away in fleets of several sizes. Holders change hands in small ones alone.
func TestPartitionedEntryLeavesItsDuties(t *testing.T) {
	type duties struct{ Listed, Orders, Follows bool }
	got := map[int]duties{}
	for _, entries := range []int{3, 12} {
		now := time.Now()
		fleet := newFleet(Settings{}, entries, now)
		for _, d := range fleet {
			d.applyConfig(conf.Data{Version: 1, Services: []conf.Service{{Name: "app", Engine: &conf.Engine{}}}})
			for i := range 200 {
				d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("u", i)), 1))
			}
			d.setAnnounced(entries)
		}
		now = exchange(fleet, now, 2*time.Second, func(int, ident.UpstreamID) bool { return true })
		d := fleet[0]
		d.mu.Lock()
		d.perform([]ident.Cmd{reach.PartitionedCmd{Partitioned: true}})
		d.mu.Unlock()
		now = exchange(fleet, now, 200*time.Millisecond, func(int, ident.UpstreamID) bool { return true })
		_, orders := d.leaseCandidates()
		got[entries] = duties{
			Listed: slices.Contains(mesh.IDs(fleet[1].mesh.Serving(now)), "entry-0"), Orders: orders, Follows: len(d.ownHolders(now)) > 0,
		}
	}
	if diff := cmp.Diff(map[int]duties{3: {}, 12: {Follows: true}}, got); diff != "" {
		t.Errorf("duties by the number of entries (-want +got):\n%s", diff)
	}
}

// TestEntriesThatLostTheirLinksKnowItThoughMostDid cuts all entries but the last one off from all upstreams, which each of them tries in turn.
func TestEntriesThatLostTheirLinksKnowItThoughMostDid(t *testing.T) {
	for _, entries := range []int{4, 5, 7, 12} {
		for _, upstreams := range []int{3, 6, 13} {
			now := time.Now()
			fleet := newFleet(Settings{}, entries, now)
			for i := range upstreams {
				for _, d := range fleet {
					d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("u", i)), 1))
				}
			}
			last := entries - 1
			reaches := func(entry int, _ ident.UpstreamID) bool { return entry == last }
			now = exchange(fleet, now, time.Second, func(int, ident.UpstreamID) bool { return true })
			for n := range 24 {
				for i, d := range fleet {
					d.observeProbe(now, ident.UpstreamID(fmt.Sprint("u", (n+i)%upstreams)), now, i == last)
				}
				now = exchange(fleet, now, 100*time.Millisecond, reaches)
			}
			var got []int
			for i, d := range fleet {
				if !d.reach.Partitioned() {
					got = append(got, i)
				}
			}
			if diff := cmp.Diff([]int{last}, got); diff != "" {
				t.Errorf("%d entries, %d upstreams: entries that count as connected (-want +got):\n%s", entries, upstreams, diff)
			}
		}
	}
}

// TestRequestsAreHandedOverToEntriesWithTheSameConfiguration lets an entry choose among peers with other versions of the configuration.
func TestRequestsAreHandedOverToEntriesWithTheSameConfiguration(t *testing.T) {
	cases := []struct {
		name string
		// versions are those of the other entries; the entry has version 5.
		versions []int64
		lack     relay.Lack
		want     []string
	}{
		{"same", []int64{5, 5}, relay.LacksSome, []string{"entry-1", "entry-2"}},
		{"some are behind", []int64{4, 5}, relay.LacksMost, []string{"entry-2"}},
		{"some are ahead", []int64{6, 5}, relay.LacksMost, []string{"entry-2"}},
		{"all are ahead", []int64{6, 6}, relay.LacksSome, nil},
		{"all are ahead of one without links", []int64{6, 4}, relay.LacksMost, []string{"entry-1"}},
		{"all are behind one without links", []int64{4, 4}, relay.LacksMost, []string{"entry-1", "entry-2"}},
		{"earlier build", []int64{0, 4}, relay.LacksSome, []string{"entry-1"}},
		{"earlier build beside the same", []int64{0, 5}, relay.LacksMost, []string{"entry-2"}},
		{"earlier build beside one ahead", []int64{0, 6}, relay.LacksMost, []string{"entry-1"}},
		{"earlier builds", []int64{0, 0}, relay.LacksMost, []string{"entry-1", "entry-2"}},
	}
	for _, c := range cases {
		now := time.Now()
		fleet := newFleet(Settings{}, 3, now)
		for i, version := range append([]int64{5}, c.versions...) {
			if version > 0 {
				fleet[i].applyConfig(conf.Data{Version: version})
			}
		}
		exchange(fleet, now, 100*time.Millisecond, func(int, ident.UpstreamID) bool { return true })
		d := fleet[0]
		d.mu.Lock()
		peers := slices.DeleteFunc(d.mesh.Serving(now), func(p mesh.Peer) bool { return p.ID == "entry-0" })
		var got []string
		for range 50 {
			if id, ok := d.peers.Choose(now, mesh.IDs(peers), d.ineligible(peers, c.lack, nil)); ok && !slices.Contains(got, id) {
				got = append(got, id)
			}
		}
		d.mu.Unlock()
		slices.Sort(got)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: entries that get requests (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestAddressesThatNobodyReachesAreNoLostLinks lists upstreams to which no entry can open a connection, beside a few that all reach. No
// entry may take itself for cut off, or hand requests over, until one of them really is.
func TestAddressesThatNobodyReachesAreNoLostLinks(t *testing.T) {
	type view struct {
		Partitioned bool
		Lack        relay.Lack
	}
	for _, dead := range []int{1, 3, 200} {
		now := time.Now()
		fleet := newFleet(Settings{}, 3, now)
		for _, d := range fleet {
			for i := range 4 {
				d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("sound", i)), 1))
			}
			for i := range dead {
				d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("odd", i)), 1))
			}
		}
		cut := false
		reaches := func(entry int, id ident.UpstreamID) bool {
			return strings.HasPrefix(string(id), "sound") && (entry > 0 || !cut)
		}
		// Requests try all upstreams four times a second.
		use := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = exchange(fleet, now, 250*time.Millisecond, reaches) {
				for i, from := range fleet {
					for _, u := range from.fleet.All() {
						from.observeProbe(now, u.ID, now, reaches(i, u.ID))
					}
				}
			}
		}
		views := func() (all []view) {
			for _, d := range fleet {
				all = append(all, view{d.reach.Partitioned(), d.lack(now, "app")})
			}
			return all
		}
		use(5 * time.Second)
		if diff := cmp.Diff([]view{{}, {}, {}}, views()); diff != "" {
			t.Errorf("%d dead: the entries' view of their links (-want +got):\n%s", dead, diff)
		}
		cut = true
		use(8 * time.Second)
		if diff := cmp.Diff([]view{{true, relay.LacksMost}, {}, {}}, views()); diff != "" {
			t.Errorf("%d dead: the entries' view once one of them is cut off (-want +got):\n%s", dead, diff)
		}
	}
}
