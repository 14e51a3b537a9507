package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/reach"
)

var start = time.Unix(1000, 0)

// fleet runs the models of entries whose messages arrive at once.
type fleet struct {
	now     time.Time
	entries []*reach.Model
	// cut reports whether an entry can't reach an upstream.
	cut    func(entry int, id ident.UpstreamID) bool
	listed []ident.UpstreamID
	probes int
}

func newFleet(entries, upstreams int) *fleet {
	f := &fleet{now: start, cut: func(int, ident.UpstreamID) bool { return false }}
	for range entries {
		f.entries = append(f.entries, reach.NewModel())
	}
	for i := range upstreams {
		f.listed = append(f.listed, ident.UpstreamID(fmt.Sprint("u", i)))
	}
	return f
}

// try lets an entry open a connection to an upstream.
func (f *fleet) try(entry int, id ident.UpstreamID) {
	var msg ident.Msg = reach.ContactMsg{ID: id, At: f.now, Opened: true}
	if f.cut(entry, id) {
		msg = reach.FailedMsg{ID: id, At: f.now}
	}
	f.perform(entry, f.entries[entry].Update(f.now, msg))
}

func (f *fleet) perform(entry int, cmds []ident.Cmd) {
	for _, cmd := range cmds {
		if p, ok := cmd.(reach.ProbeCmd); ok {
			f.probes++
			f.try(entry, p.ID)
		}
	}
}

// run passes time in steps of 25 ms, with a heartbeat in each. Every traffic-th step each entry tries an upstream.
func (f *fleet) run(d time.Duration, traffic int) {
	for n := range int(d / (25 * time.Millisecond)) {
		f.now = f.now.Add(25 * time.Millisecond)
		for i, m := range f.entries {
			if traffic > 0 && n%traffic == 0 {
				f.try(i, f.listed[(n/traffic+i)%len(f.listed)])
			}
			f.perform(i, m.Update(f.now, reach.TickMsg{Listed: f.listed}))
			for j, other := range f.entries {
				if i == j {
					continue
				}
				for _, q := range m.Queries(f.now, 8) {
					f.perform(j, other.Update(f.now, reach.QueryMsg{ID: q.ID, Since: f.now.Add(-q.Age)}))
				}
				for _, r := range m.Answers(f.now, 8) {
					f.perform(j, other.Update(f.now, reach.HeardMsg{ID: r.ID, At: f.now.Add(-r.Age)}))
				}
			}
		}
	}
}

// cutFirst cuts the first entry off from the first upstreams, and returns the set of these.
func (f *fleet) cutFirst(count int) (isCut map[ident.UpstreamID]bool) {
	isCut = map[ident.UpstreamID]bool{}
	for _, id := range f.listed[:count] {
		isCut[id] = true
	}
	f.cut = func(entry int, id ident.UpstreamID) bool { return entry == 0 && isCut[id] }
	return isCut
}

func (f *fleet) partitioned() (entries []int) {
	for i, m := range f.entries {
		if m.Partitioned() {
			entries = append(entries, i)
		}
	}
	return entries
}

// TestOnlyEntriesThatLostTheirLinksArePartitioned cuts entries off from upstreams, with much and with little traffic.
func TestOnlyEntriesThatLostTheirLinksArePartitioned(t *testing.T) {
	all := func(ident.UpstreamID) bool { return true }
	firstThree := func(id ident.UpstreamID) bool { return id < "u3" }
	cases := []struct {
		name    string
		entries int
		lost    func(ident.UpstreamID) bool
		want    []int
	}{
		{"one_entry", 1, all, []int{0}},
		{"most_entries", 3, all, []int{0, 1, 2}},
		{"most_upstreams", 1, func(id ident.UpstreamID) bool { return id != "u8" }, []int{0}},
		{"one_zone", 2, firstThree, nil},
		{"upstreams_down_everywhere", 4, all, nil},
		{"some_upstreams_down_everywhere", 4, firstThree, nil},
	}
	for _, c := range cases {
		for _, traffic := range []int{1, 20} {
			t.Run(fmt.Sprint(c.name, "/", traffic), func(t *testing.T) {
				f := newFleet(4, 9)
				f.run(5*time.Second, traffic)
				f.cut = func(entry int, id ident.UpstreamID) bool { return entry < c.entries && c.lost(id) }
				f.run(2*time.Second, traffic)
				if diff := cmp.Diff(c.want, f.partitioned()); diff != "" {
					t.Errorf("partitioned entries (-want +got):\n%s", diff)
				}
				f.run(10*time.Second, traffic)
				if diff := cmp.Diff(c.want, f.partitioned()); diff != "" {
					t.Errorf("partitioned entries later (-want +got):\n%s", diff)
				}
				f.cut = func(int, ident.UpstreamID) bool { return false }
				f.run(3*time.Second, traffic)
				if got := f.partitioned(); got != nil {
					t.Errorf("partitioned after the return of the links: %v", got)
				}
				for _, id := range f.listed {
					if f.entries[0].Isolated(id) {
						t.Errorf("%s is still isolated", id)
					}
				}
			})
		}
	}
}

// TestCongestedLinkIsNoPartition lets each connection of an entry fail half of the time, whatever the upstream.
func TestCongestedLinkIsNoPartition(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(4, 30)
		f.run(5*time.Second, 1)
		rng := rand.New(rand.NewPCG(seed, 1))
		f.cut = func(entry int, _ ident.UpstreamID) bool { return entry == 0 && rng.IntN(2) == 0 }
		for second := range 20 {
			f.run(time.Second, 1)
			if got := f.partitioned(); got != nil {
				t.Fatalf("seed %d: entries %v are partitioned in second %d", seed, got, second)
			}
		}
	}
}

// TestProbesStayFew cuts an entry off from a large number of upstreams.
func TestProbesStayFew(t *testing.T) {
	f := newFleet(4, 500)
	f.run(2*time.Second, 1)
	f.cut = func(entry int, _ ident.UpstreamID) bool { return entry == 0 }
	f.run(time.Second, 1)
	f.probes = 0
	f.run(10*time.Second, 1)
	// The entry that is cut off makes 2 in each 100 ms and one suspicion a second; each other one answers once in 100 ms.
	if most := 10 * (20 + 1 + 3*10); f.probes > most {
		t.Errorf("%d probes in 10 s, want at most %d", f.probes, most)
	}
	f.probes = 0
	f.cut = func(int, ident.UpstreamID) bool { return false }
	f.run(10*time.Second, 1)
	f.probes = 0
	f.run(5*time.Second, 1)
	if f.probes > 0 {
		t.Errorf("%d probes although all links are back", f.probes)
	}
}

// TestOneLostLinkCausesFewProbes cuts an entry off from one upstream of many for ten seconds.
func TestOneLostLinkCausesFewProbes(t *testing.T) {
	f := newFleet(4, 30)
	f.run(2*time.Second, 4)
	f.cut = func(entry int, id ident.UpstreamID) bool { return entry == 0 && id == "u3" }
	f.run(time.Second, 4)
	f.probes = 0
	f.run(10*time.Second, 4)
	// It tries the lost one twice a second and eight others in 3 s; the other entries have contacts of their own to tell.
	if most := 10*2 + 4*8 + 10; f.probes > most {
		t.Errorf("%d probes in 10 s, want at most %d", f.probes, most)
	}
}

// TestEntryThatFailsItselfDoesNotProbeForOthers asks an entry about an upstream that it reaches, and then fails to reach.
func TestEntryThatFailsItselfDoesNotProbeForOthers(t *testing.T) {
	m, now := reach.NewModel(), start
	var got []int
	for range 3 {
		now = now.Add(time.Second)
		cmds := m.Update(now, reach.QueryMsg{ID: "u", Since: now})
		got = append(got, len(cmds))
		if len(got) > 1 {
			m.Update(now, reach.FailedMsg{ID: "u", At: now})
		}
	}
	if diff := cmp.Diff([]int{1, 1, 0}, got); diff != "" {
		t.Errorf("probes (-want +got):\n%s", diff)
	}
}

// TestReachedUpstreamIsNeverIsolated applies messages in any order.
func TestReachedUpstreamIsNeverIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := reach.NewModel(), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			at := now.Add(-time.Duration(rapid.IntRange(0, 700).Draw(t, "age")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				m.Update(now, reach.FailedMsg{ID: "u", At: at})
			case 1:
				m.Update(now, reach.HeardMsg{ID: "u", At: at})
			case 2:
				m.Update(now, reach.QueryMsg{ID: "u", Since: at})
			case 3:
				m.Update(now, reach.TickMsg{Listed: []ident.UpstreamID{"u", "v"}})
			case 4:
				m.Update(now, reach.ContactMsg{ID: "u", At: now, Opened: true})
				if m.Isolated("u") || m.Lost("u") {
					t.Fatal("isolated right after a contact")
				}
			}
		}
	})
}

// TestRemovedUpstreamIsForgotten reports failures of an upstream that is removed meanwhile.
func TestRemovedUpstreamIsForgotten(t *testing.T) {
	m, now := reach.NewModel(), start
	m.Update(now, reach.FailedMsg{ID: "gone", At: now})
	m.Update(now, reach.GoneMsg{ID: "gone"})
	m.Update(now, reach.FailedMsg{ID: "gone", At: now.Add(-time.Second)}) // It timed out after the removal.
	m.Update(now, reach.TickMsg{Listed: []ident.UpstreamID{"u"}})
	if got := m.Failing(); got != 0 {
		t.Errorf("%d upstreams fail", got)
	}
}

// TestOldFailureDoesNotOutweighANewerConnection reports a slow failure after a later attempt has opened a connection.
func TestOldFailureDoesNotOutweighANewerConnection(t *testing.T) {
	m, now := reach.NewModel(), start.Add(time.Second)
	m.Update(now, reach.ContactMsg{ID: "u", At: now.Add(-300 * time.Millisecond), Opened: true})
	m.Update(now, reach.HeardMsg{ID: "u", At: now})
	m.Update(now, reach.FailedMsg{ID: "u", At: now.Add(-600 * time.Millisecond)})
	if m.Failing() != 0 || m.Lost("u") {
		t.Errorf("%d upstreams fail, lost: %v", m.Failing(), m.Lost("u"))
	}
}

// TestProbesForOthersGetFewerInLargeFleets asks one entry about many upstreams for ten seconds, as others do if some of their connections
// fail.
func TestProbesForOthersGetFewerInLargeFleets(t *testing.T) {
	got := map[int]int{}
	for _, entries := range []int{3, 60, 360} {
		m, now := reach.NewModel(), start
		for n := range 1000 {
			now = now.Add(10 * time.Millisecond)
			for _, cmd := range m.Update(now, reach.QueryMsg{ID: ident.UpstreamID(fmt.Sprint("u", n%200)), Since: now, Entries: entries}) {
				if _, ok := cmd.(reach.ProbeCmd); ok {
					got[entries]++
				}
			}
		}
	}
	if diff := cmp.Diff(map[int]int{3: 100, 60: 42, 360: 40}, got); diff != "" {
		t.Errorf("probes by the number of entries (-want +got):\n%s", diff)
	}
}

// TestCrashedUpstreamsGetFewProbes takes a third of the upstreams down for all entries, at much and at little traffic.
func TestCrashedUpstreamsGetFewProbes(t *testing.T) {
	const entries = 4
	for _, traffic := range []int{1, 20} {
		f := newFleet(entries, 90)
		f.run(5*time.Second, traffic)
		f.cut = func(_ int, id ident.UpstreamID) bool { return id < "u4" }
		f.probes = 0
		f.run(6*time.Second, traffic)
		// Each entry tries 8 others in 3 s, and answers for others once in 100 ms.
		if most := entries * 6 * (8/3 + 10); f.probes > most {
			t.Errorf("%d probes with traffic every %d steps, want at most %d", f.probes, traffic, most)
		}
	}
}

// TestLinkThatIsBackCausesOneSweep brings back one of many lost links, and later all.
func TestLinkThatIsBackCausesOneSweep(t *testing.T) {
	const lost = 20
	f := newFleet(4, 60)
	f.run(2*time.Second, 4)
	isCut := f.cutFirst(lost)
	f.run(3*time.Second, 4)
	delete(isCut, f.listed[0])
	f.run(2*time.Second, 4)
	f.probes = 0
	f.run(10*time.Second, 4)
	// Each lost link is probed twice a second, 2 in each 100 ms at most, and eight others in 3 s; the other entries answer.
	if most := 10*20 + 4*8 + 10; f.probes > most {
		t.Errorf("%d probes in 10 s with one of %d links back, want at most %d", f.probes, lost, most)
	}
	clear(isCut)
	f.run(time.Second+lost/2*25*time.Millisecond, 0)
	if count := f.entries[0].Failing(); count > 0 {
		t.Errorf("%d links still count as failing after all are back", count)
	}
}

// TestManyLostLinksCauseFewProbes cuts an entry off from some of many upstreams for a longer time.
func TestManyLostLinksCauseFewProbes(t *testing.T) {
	const lost = 20
	f := newFleet(4, 60)
	f.run(2*time.Second, 4)
	isCut := f.cutFirst(lost)
	f.run(6*time.Second, 4)
	f.probes = 0
	f.run(10*time.Second, 4)
	// Each lost link is probed every 4 s, and some link twice a second; eight others in 3 s; the other entries answer.
	if most := lost*10/4 + 10*2 + 4*8 + 10; f.probes > most {
		t.Errorf("%d probes in 10 s with %d of %d links lost, want at most %d", f.probes, lost, len(f.listed), most)
	}
	clear(isCut)
	f.run(time.Second+lost/2*25*time.Millisecond, 0)
	if count := f.entries[0].Failing(); count > 0 {
		t.Errorf("%d links still count as failing after all are back", count)
	}
}
