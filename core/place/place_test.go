package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
)

const model = ident.ModelName("m0")

var start = time.Unix(1000, 0)

// bench is a placement model with its fleet and its index of cached parts.
type bench struct {
	fleet *fleet.Model
	index *parts.Index
	place *place.Model
	set   *conf.Set
}

func newBench(engines int, memory int, stores ...conf.Store) *bench {
	services := []conf.Service{{Name: "llm", ColdRate: 10, Engine: &conf.Engine{Slots: 16, Memory: memory, TokenSize: 20_000, Link: 300e9}}}
	for i := range stores {
		services = append(services, conf.Service{Name: ident.ServiceName(fmt.Sprintf("store%d", i)), Store: &stores[i]})
	}
	b := &bench{fleet: fleet.NewModel(), index: parts.NewIndex()}
	b.place = place.NewModel(b.fleet, b.index, rand.New(rand.NewPCG(1, 1)))
	b.set = conf.NewSet(conf.Data{Services: services, Routes: []conf.Route{
		{Objective: 300 * time.Millisecond, Shares: []conf.Share{{Service: "llm", Weight: 1}}},
	}})
	b.place.SetConfig(b.set)
	b.place.SetMembers(place.Members{Self: "self", Sharers: []string{"self"}, Zone: "z"})
	for i := range engines {
		b.fleet.Update(start, fleet.ListedMsg{Upstream: conf.Upstream{
			ID: engineID(i), Service: "llm", Address: string(engineID(i)), Zone: "z", Slots: 16, Weights: map[ident.ModelName]int64{model: 1},
		}})
	}
	return b
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("e%02d", i)) }

func need(t place.Ticket, now time.Time, tokens int, doc string, objective time.Duration) place.Need {
	return place.Need{
		Ticket: t, Service: "llm", Model: model, Output: 10, Arrived: now, Objective: objective, Deadline: now.Add(10 * time.Second),
		Chain: []conf.Part{{ID: doc, Tokens: tokens}, {ID: fmt.Sprintf("own%d", t), Tokens: 10}},
	}
}

func sends(cmds []ident.Cmd) (sent []place.SendCmd) {
	for _, cmd := range cmds {
		if s, ok := cmd.(place.SendCmd); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

func refusals(cmds []ident.Cmd) (refused []place.RefuseCmd) {
	for _, cmd := range cmds {
		if r, ok := cmd.(place.RefuseCmd); ok {
			refused = append(refused, r)
		}
	}
	return refused
}

// TestPromptReturnsToEngineWithCache sends the same document five times.
func TestPromptReturnsToEngineWithCache(t *testing.T) {
	b := newBench(8, 200_000)
	now := start
	engines := map[ident.UpstreamID]bool{}
	took := 140 * time.Millisecond // Only the first request prefills the document.
	for i := range 5 {
		ticket := place.Ticket(i + 1)
		for _, s := range sends(b.place.Update(now, place.ArriveMsg{Need: need(ticket, now, 8000, "doc", 800*time.Millisecond)})) {
			engines[s.Upstream.ID] = true
		}
		b.place.Update(now.Add(took), place.FirstByteMsg{Ticket: ticket})
		b.place.Update(now.Add(2*took), place.EndMsg{Ticket: ticket})
		took = 50 * time.Millisecond
		now = now.Add(time.Second)
	}
	if diff := cmp.Diff(1, len(engines)); diff != "" {
		t.Errorf("engines used (-want +got):\n%s", diff)
	}
}

// TestCachedPromptIsFetchedRatherThanPrefilled fills the engine with the cached prompt, so that the next request goes
// to the other engine.
func TestCachedPromptIsFetchedRatherThanPrefilled(t *testing.T) {
	b := newBench(2, 200_000)
	first := sends(b.place.Update(start, place.ArriveMsg{Need: need(1, start, 8000, "doc", 800*time.Millisecond)}))
	b.place.Update(start, place.FirstByteMsg{Ticket: 1})
	b.place.Update(start, place.EndMsg{Ticket: 1})
	b.place.Update(start, place.PeerMsg{Peer: "other", Loads: []place.Load{{Upstream: first[0].Upstream.ID, Requests: 16, Backlog: 90_000}}})
	second := sends(b.place.Update(start, place.ArriveMsg{Need: need(2, start, 8000, "doc", 800*time.Millisecond)}))
	if len(second) != 1 {
		t.Fatal("not sent")
	}
	want := []conf.Source{{Address: string(first[0].Upstream.ID), Tokens: 8000}, {}}
	if diff := cmp.Diff(want, second[0].Fetch); diff != "" {
		t.Errorf("fetch (-want +got):\n%s", diff)
	}
}

// TestReportReplacesTransfersOfPeer has another entry report a long transfer from the engine with the cached prompt, then, after it
// has ended or after its reports have ceased, sends the prompt. Only the transfer still under way keeps it from being fetched.
func TestReportReplacesTransfersOfPeer(t *testing.T) {
	for name, c := range map[string]struct {
		next  *place.PeerMsg
		after time.Duration
		want  bool
	}{
		"under way":    {nil, 0, false},
		"ended":        {&place.PeerMsg{Peer: "other"}, 0, true},
		"other's":      {&place.PeerMsg{Peer: "third"}, 0, false},
		"not repeated": {nil, 1300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(2, 200_000)
			first := sends(b.place.Update(start, place.ArriveMsg{Need: need(1, start, 8000, "doc", 800*time.Millisecond)}))[0].Upstream.ID
			b.place.Update(start, place.FirstByteMsg{Ticket: 1})
			b.place.Update(start, place.EndMsg{Ticket: 1})
			transfer := place.Transfer{Holder: parts.Holder(first), Left: 10 * time.Second}
			b.place.Update(start, place.PeerMsg{Peer: "other", Transfers: []place.Transfer{transfer}})
			if c.next != nil {
				b.place.Update(start, *c.next)
			}
			now := start.Add(c.after)
			b.place.Update(now, place.TickMsg{})
			b.place.Update(now, place.PeerMsg{Peer: "full", Loads: []place.Load{{Upstream: first, Requests: 16, Backlog: 90_000}}})
			second := sends(b.place.Update(now, place.ArriveMsg{Need: need(2, now, 8000, "doc", 800*time.Millisecond)}))
			if got := len(second) == 1 && second[0].Fetched > 0; got != c.want {
				t.Errorf("fetched: %t, want %t: %+v", got, c.want, second)
			}
		})
	}
}

// TestCachedPartNamesStoreAsFallback sends a prompt of which the index has the first part at the engine and both shared
// parts at a store. If the engine has evicted the first part, the second is useless unless the first is fetched too.
func TestCachedPartNamesStoreAsFallback(t *testing.T) {
	b := newBench(1, 200_000, conf.Store{Address: "s", Zone: "z", Capacity: 1 << 20, Link: 300e9})
	salt := place.Salt("", model, 1)
	common, doc := parts.NewKey(salt, "common"), parts.NewKey(salt, "doc")
	b.index.Update(start, parts.ReportMsg{Holder: "s", Epoch: 1, At: start, Changes: []parts.Change{{Key: common, Tokens: 512}, {Key: doc, Tokens: 8000}}})
	b.index.Update(start, parts.ReportMsg{Holder: "e00", Epoch: 1, At: start, Changes: []parts.Change{{Key: common, Tokens: 512}}})
	n := need(1, start, 8000, "doc", time.Second)
	n.Chain = append([]conf.Part{{ID: "common", Tokens: 512}}, n.Chain...)
	got := sends(b.place.Update(start, place.ArriveMsg{Need: n}))
	want := place.SendCmd{Cached: 512, Fetched: 8000, Missing: 10, Fetch: []conf.Source{{Address: "s", Tokens: 512}, {Address: "s", Tokens: 8000}, {}}}
	if len(got) != 1 {
		t.Fatalf("sent %+v", got)
	}
	sent := place.SendCmd{Cached: got[0].Cached, Fetched: got[0].Fetched, Missing: got[0].Missing, Fetch: got[0].Fetch}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// TestPartBeingPrefilledIsNotFetched sends two requests for a document during its first prefill, one of them through an
// entry that only received the announcement: both must go to the engine that prefills it.
func TestPartBeingPrefilledIsNotFetched(t *testing.T) {
	b, other := newBench(4, 200_000), newBench(4, 200_000)
	var engines []ident.UpstreamID
	cmds := b.place.Update(start, place.ArriveMsg{Need: need(1, start, 8000, "doc", 800*time.Millisecond)})
	for _, cmd := range cmds {
		if r, ok := cmd.(place.PrefillingCmd); ok {
			other.index.Update(start, r.Prefilling)
		}
	}
	now := start.Add(20 * time.Millisecond)
	for _, at := range []*bench{b, other} {
		cmds = append(cmds, at.place.Update(now, place.ArriveMsg{Need: need(2, now, 8000, "doc", 800*time.Millisecond)})...)
	}
	for _, s := range sends(cmds) {
		engines = append(engines, s.Upstream.ID)
		if s.Fetch != nil {
			t.Errorf("fetched from %+v", s.Fetch)
		}
	}
	if len(engines) != 3 {
		t.Fatalf("sent to %v", engines)
	}
	if diff := cmp.Diff([]ident.UpstreamID{engines[0], engines[0], engines[0]}, engines); diff != "" {
		t.Errorf("engines (-want +got):\n%s", diff)
	}
}

// TestPartIsSavedOnce places two requests for a document before its save is reported.
func TestPartIsSavedOnce(t *testing.T) {
	b := newBench(2, 200_000, conf.Store{Address: "s", Zone: "z", Capacity: 100_000, Link: 100e9})
	b.index.Update(start, parts.ReportMsg{Holder: "s", Epoch: 1, At: start})
	one := sends(b.place.Update(start, place.ArriveMsg{Need: need(1, start, 8000, "doc", 800*time.Millisecond)}))
	two := sends(b.place.Update(start, place.ArriveMsg{Need: need(2, start, 8000, "doc", 800*time.Millisecond)}))
	var again []conf.Source
	for _, s := range two {
		again = append(again, s.Save...)
	}
	got := [][]conf.Source{one[0].Save, again}
	if diff := cmp.Diff([][]conf.Source{{{Address: "s", Tokens: 8000}, {}}, nil}, got); diff != "" {
		t.Errorf("saves (-want +got):\n%s", diff)
	}
}

// TestLongPromptsLeaveCapacityForShortOnes sends short urgent prompts during a burst of long ones. Each short one must be
// sent at once, with its first byte expected within its objective.
func TestLongPromptsLeaveCapacityForShortOnes(t *testing.T) {
	b := newBench(4, 100_000)
	for i := range 40 {
		b.place.Update(start, place.ArriveMsg{Need: need(place.Ticket(i+1), start, 9000, fmt.Sprint("doc", i), 800*time.Millisecond)})
	}
	for i := range 8 {
		got := sends(b.place.Update(start, place.ArriveMsg{Need: need(place.Ticket(100+i), start, 400, fmt.Sprint("short", i), 300*time.Millisecond)}))
		if len(got) != 1 || got[0].Expected > 300*time.Millisecond {
			t.Fatalf("short request %d: %+v", i, got)
		}
	}
}

// TestEngineMemoryIsNotExceeded offers more long prompts than fit into the engines' memory.
func TestEngineMemoryIsNotExceeded(t *testing.T) {
	const memory = 100_000
	b := newBench(2, memory)
	used := map[ident.UpstreamID]int{}
	for i := range 60 {
		ticket := place.Ticket(i + 1)
		for _, s := range sends(b.place.Update(start, place.ArriveMsg{Need: need(ticket, start, 12_000, fmt.Sprint("doc", i), 10*time.Second)})) {
			used[s.Upstream.ID] += 12_020
		}
		b.place.Update(start, place.FirstByteMsg{Ticket: ticket})
	}
	for id, tokens := range used {
		if tokens > memory {
			t.Errorf("%s holds %d tokens of %d", id, tokens, memory)
		}
	}
}

// TestRefusalCountsFullEnginesByResource has three engines that each lack another resource for a long prompt.
func TestRefusalCountsFullEnginesByResource(t *testing.T) {
	b := newBench(3, 200_000)
	b.place.Update(start, place.PeerMsg{Peer: "other", Loads: []place.Load{
		{Upstream: engineID(0), Requests: 2, Memory: 190_000}, {Upstream: engineID(1), Requests: 16}, {Upstream: engineID(2), Requests: 1, Backlog: 30_000},
	}})
	long := need(1, start, 30_000, "doc", 300*time.Millisecond)
	long.Rank = 2
	cmds := b.place.Update(start, place.ArriveMsg{Need: long})
	for now := start; len(refusals(cmds)) == 0 && now.Before(start.Add(time.Second)); now = now.Add(25 * time.Millisecond) {
		cmds = b.place.Update(now, place.TickMsg{})
	}
	refused := refusals(cmds)
	if len(refused) != 1 {
		t.Fatalf("refused %+v", refused)
	}
	want := place.Tally{Full: 3}
	want.FullBy[place.Memory], want.FullBy[place.Slots], want.FullBy[place.Backlog] = 1, 1, 1
	if diff := cmp.Diff(want, refused[0].Tally); diff != "" {
		t.Errorf("tally (-want +got):\n%s", diff)
	}
}

// TestRefusalsComeEarly checks that a request without an upstream and one whose deadline is too close are refused well
// before their deadlines, and that both refusals carry a retry delay.
func TestRefusalsComeEarly(t *testing.T) {
	b := newBench(0, 100_000)
	b.place.Update(start, place.ArriveMsg{Need: need(1, start, 400, "doc", 300*time.Millisecond)})
	var refused []place.RefuseCmd
	now := start
	for ; len(refused) == 0 && now.Before(start.Add(10*time.Second)); now = now.Add(25 * time.Millisecond) {
		refused = refusals(b.place.Update(now, place.TickMsg{}))
	}
	if len(refused) != 1 || refused[0].RetryAfter <= 0 || now.Sub(start) > 600*time.Millisecond {
		t.Errorf("after %v: %+v", now.Sub(start), refused)
	}
	full := newBench(1, 1_000_000)
	hopeless := need(2, start, 400_000, "doc", 300*time.Millisecond)
	hopeless.Deadline = start.Add(500 * time.Millisecond)
	got := refusals(full.place.Update(start, place.ArriveMsg{Need: hopeless}))
	if len(got) != 1 || got[0].Reason != place.TooLate || got[0].RetryAfter <= 0 {
		t.Errorf("hopeless request: %+v", got)
	}
}

// TestColdUpstreamRateLimit floods one cold upstream from 30 entries.
func TestColdUpstreamRateLimit(t *testing.T) {
	const rate, entries = 10, 30
	ids := make([]string, entries)
	for i := range ids {
		ids[i] = fmt.Sprint("entry", i)
	}
	total := 0
	for _, id := range ids {
		b := newBench(1, 1_000_000)
		b.place.SetMembers(place.Members{Self: id, Sharers: ids, Zone: "z"})
		b.fleet.Update(start, fleet.ColdMsg{ID: engineID(0), Left: time.Minute})
		for ms := range 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%10 == 0 {
				total += len(sends(b.place.Update(now, place.ArriveMsg{Need: need(place.Ticket(ms+1), now, 100, "doc", 10*time.Second)})))
			}
		}
	}
	if total < rate/2 || total > 3*rate/2+5 {
		t.Errorf("%d requests in a second at a rate of %d", total, rate)
	}
}

// TestOlderWeightsGetNoWorkNearGraceEnd sends requests 1, 9 and 11 s after a new version is set.
func TestOlderWeightsGetNoWorkNearGraceEnd(t *testing.T) {
	b := newBench(1, 100_000)
	b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Since: start})
	var got []int
	for i, after := range []time.Duration{time.Second, 9 * time.Second, 11 * time.Second} {
		now := start.Add(after)
		cmds := b.place.Update(now, place.ArriveMsg{Need: need(place.Ticket(i+1), now, 100, "doc", time.Second)})
		got = append(got, len(sends(cmds)))
	}
	if diff := cmp.Diff([]int{1, 0, 0}, got); diff != "" {
		t.Errorf("sent 1, 9 and 11 s after the new version (-want +got):\n%s", diff)
	}
}

// TestNewerVersionDoesNotExtendGrace sets a second version just before the grace period of the first ends.
func TestNewerVersionDoesNotExtendGrace(t *testing.T) {
	b := newBench(1, 100_000)
	b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Since: start})
	b.place.Update(start.Add(8*time.Second), place.TargetMsg{Model: model, Version: 3, Since: start.Add(8 * time.Second)})
	now := start.Add(9 * time.Second)
	cmds := b.place.Update(now, place.ArriveMsg{Need: need(1, now, 100, "doc", time.Second)})
	if diff := cmp.Diff(0, len(sends(cmds))); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// TestManyNewerVersionsDontExtendGrace sets forty versions within the grace of the first.
func TestManyNewerVersionsDontExtendGrace(t *testing.T) {
	b := newBench(1, 100_000)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		b.place.Update(now, place.TargetMsg{Model: model, Version: int64(i + 2), Since: now})
	}
	now := start.Add(9 * time.Second)
	cmds := b.place.Update(now, place.ArriveMsg{Need: need(1, now, 100, "doc", time.Second)})
	if diff := cmp.Diff(0, len(sends(cmds))); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// TestStartedEntryUsesOldWeightsBriefly sets, at the start of an entry, a version that became the target at an unknown
// time.
func TestStartedEntryUsesOldWeightsBriefly(t *testing.T) {
	b := newBench(1, 100_000)
	b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Ready: start})
	var got []int
	for i, after := range []time.Duration{time.Second, 3 * time.Second} {
		now := start.Add(after)
		got = append(got, len(sends(b.place.Update(now, place.ArriveMsg{Need: need(place.Ticket(i+1), now, 100, "doc", time.Second)}))))
	}
	if diff := cmp.Diff([]int{1, 0}, got); diff != "" {
		t.Errorf("sent 1 and 3 s after the start (-want +got):\n%s", diff)
	}
}

// TestOldWeightsGetNoWorkAtAnEntryThatLearnsLate tells an entry of a version at start, in four ways, and sends requests 2 and
// 3 s later.
func TestOldWeightsGetNoWorkAtAnEntryThatLearnsLate(t *testing.T) {
	ago := func(d time.Duration) time.Time { return start.Add(-d) }
	got := map[string][]int{}
	for name, msg := range map[string]place.TargetMsg{
		"at once":               {Since: ago(100 * time.Millisecond), Ready: ago(time.Minute)},
		"frozen for 6 s":        {Since: ago(6 * time.Second), Ready: ago(time.Minute)},
		"frozen for 30 s":       {Since: ago(30 * time.Second), Ready: ago(time.Minute)},
		"store away until just": {Since: ago(30 * time.Second), Ready: ago(100 * time.Millisecond)},
	} {
		b := newBench(1, 100_000)
		msg.Model, msg.Version = model, 2
		b.place.Update(start, msg)
		for i, after := range []time.Duration{2 * time.Second, 3 * time.Second} {
			now := start.Add(after)
			got[name] = append(got[name], len(sends(b.place.Update(now, place.ArriveMsg{Need: need(place.Ticket(i+1), now, 100, "doc", time.Second)}))))
		}
	}
	want := map[string][]int{"at once": {1, 1}, "frozen for 6 s": {1, 0}, "frozen for 30 s": {0, 0}, "store away until just": {1, 0}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sent 2 and 3 s after the entry learned of the version (-want +got):\n%s", diff)
	}
}

// TestDecisionIsCheckedAgainWhenCarriedOutLate chooses an engine for a request, after which the engine is outdated, leaves, or
// neither.
func TestDecisionIsCheckedAgainWhenCarriedOutLate(t *testing.T) {
	got := map[string]bool{}
	for name, change := range map[string]func(b *bench){
		"unchanged": func(*bench) {},
		"outdated":  func(b *bench) { b.place.Update(start, place.TargetMsg{Model: model, Version: 2, Since: start}) },
		"draining": func(b *bench) {
			u, _ := b.fleet.Get(engineID(0))
			u.Draining = true
			b.fleet.Update(start, fleet.ListedMsg{Upstream: u})
		},
		"zone taken out": func(b *bench) { b.fleet.Update(start, fleet.AvoidMsg{Zone: "z", Avoided: true}) },
		"ended":          func(b *bench) { b.place.Update(start, place.EndMsg{Ticket: 1, Outcome: place.Cancelled}) },
	} {
		b := newBench(1, 100_000)
		b.place.Update(start, place.ArriveMsg{Need: need(1, start, 100, "doc", time.Second)})
		change(b)
		got[name] = b.place.StillEligible(start.Add(9*time.Second), 1)
	}
	want := map[string]bool{"unchanged": true, "outdated": false, "draining": false, "zone taken out": false, "ended": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("still eligible 9 s later (-want +got):\n%s", diff)
	}
}

// TestQueuedRequestGoesToFreedEngine fills two engines and ends a request on one of them.
func TestQueuedRequestGoesToFreedEngine(t *testing.T) {
	b := newBench(2, 1000)
	first := map[place.Ticket]ident.UpstreamID{}
	for ticket := place.Ticket(1); ticket <= 2; ticket++ {
		for _, s := range sends(b.place.Update(start, place.ArriveMsg{Need: need(ticket, start, 800, fmt.Sprint("doc", ticket), time.Second)})) {
			first[s.Ticket] = s.Upstream.ID
		}
	}
	waits := b.place.Update(start, place.ArriveMsg{Need: need(3, start, 700, "doc3", time.Second)})
	end := start.Add(10 * time.Millisecond)
	got := append(sends(waits), sends(b.place.Update(end, place.EndMsg{Ticket: 2}))...)
	if len(first) != 2 || len(got) != 1 {
		t.Fatalf("sent %v at first, then %+v", first, got)
	}
	if diff := cmp.Diff(first[2], got[0].Upstream.ID); diff != "" {
		t.Errorf("upstream (-want +got):\n%s", diff)
	}
}

// TestLoadOfOtherEntriesCounts reports an engine that another entry has loaded.
func TestLoadOfOtherEntriesCounts(t *testing.T) {
	b := newBench(2, 1_000_000)
	b.place.Update(start, place.PeerMsg{Peer: "other", Loads: []place.Load{{Upstream: engineID(0), Requests: 10, Backlog: 50_000}}})
	got := sends(b.place.Update(start, place.ArriveMsg{Need: need(1, start, 400, "doc", time.Second)}))
	if diff := cmp.Diff(engineID(1), got[0].Upstream.ID); diff != "" {
		t.Errorf("upstream (-want +got):\n%s", diff)
	}
}

func TestSaltNamesModelAndVersion(t *testing.T) {
	m, v, ok := place.ParseSalt(place.Salt("org/with/slashes", "m0", 7))
	_, _, bad := place.ParseSalt("m0/7")
	got := []any{m, v, ok, bad}
	if diff := cmp.Diff([]any{model, int64(7), true, false}, got); diff != "" {
		t.Errorf("salt (-want +got):\n%s", diff)
	}
}

// TestSpreadIgnoresLoadAndCache places requests with the same spread value on one upstream, though another one has the
// prompt and their own has more load each time, and those with different values on several.
func TestSpreadIgnoresLoadAndCache(t *testing.T) {
	b := newBench(6, 200_000)
	chosen, all := map[string]map[ident.UpstreamID]bool{}, map[ident.UpstreamID]bool{}
	for i := range 20 {
		n := need(place.Ticket(i+1), start, 50, "doc", time.Second)
		n.Spread = fmt.Sprint("digest-", i%10)
		for _, s := range sends(b.place.Update(start, place.ArriveMsg{Need: n})) {
			if chosen[n.Spread] == nil {
				chosen[n.Spread] = map[ident.UpstreamID]bool{}
			}
			chosen[n.Spread][s.Upstream.ID], all[s.Upstream.ID] = true, true
		}
	}
	for spread, upstreams := range chosen {
		if len(upstreams) != 1 {
			t.Errorf("%s went to %d upstreams", spread, len(upstreams))
		}
	}
	if len(chosen) != 10 || len(all) < 3 {
		t.Errorf("%d values went to %d of 6 upstreams", len(chosen), len(all))
	}
}
