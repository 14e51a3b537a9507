package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/poison"
)

// gossips is a number of entries that share evidence in messages, and the upstreams that they observe.
type gossips struct {
	now     time.Time
	entries []*poison.Model
	boots   []int
	trials  int
	lost    int
}

func newModel(i int) *poison.Model {
	return poison.NewModel(ident.EntryID(fmt.Sprint("entry-", i)), poison.WithMessages(), poison.WithRetention(time.Hour),
		poison.WithConfirmTimeout(6*time.Second))
}

func newGossips(entries, upstreams int) *gossips {
	g := &gossips{now: start, boots: make([]int, upstreams)}
	for i := range entries {
		g.entries = append(g.entries, newModel(i))
	}
	return g
}

// share delivers one round of messages, except those from one entry to another for which isLost returns true.
func (g *gossips) share(isLost func(from, to int) bool) {
	g.now = g.now.Add(200 * time.Millisecond)
	for from, sender := range g.entries {
		for _, rec := range sender.Share(g.now, len(g.entries)) {
			for to, receiver := range g.entries {
				if to == from || isLost(from, to) {
					continue
				}
				if err := receiver.Receive(g.now, rec.Kind, rec.Body); err != nil {
					panic(err)
				}
			}
		}
	}
}

// send sends a request at one entry; it ends the upstream that it reaches. An innocent request, if named, is in flight
// beside it.
func (g *gossips) send(entry int, d poison.Digest, innocent poison.Digest) {
	m := g.entries[entry]
	standing := m.Standing(g.now, d)
	if standing == poison.Quarantined || standing == poison.Suspect && m.TriedElsewhere(d, "") {
		return
	}
	upstream := g.lost % len(g.boots)
	trial := poison.TrialBody{Digest: d, ID: fmt.Sprint("trial-", g.trials), Upstream: engineID(upstream)}
	g.trials++
	if standing == poison.Suspect {
		m.RequestTrial(g.now, trial)
	}
	loss := poison.Loss{Upstream: engineID(upstream), Boot: ident.BootID(fmt.Sprint(g.boots[upstream]))}
	g.boots[upstream]++
	g.lost++
	m.RecordLoss(g.now, g.now, d, loss, m.Granted(d, trial.ID))
	if innocent != "" {
		m.RecordLoss(g.now, g.now, innocent, loss, false)
	}
	if standing == poison.Suspect {
		m.EndTrial(g.now, trial)
	}
}

// observe lets an entry see the current boots of all upstreams.
func (g *gossips) observe(entry int) {
	for i, boot := range g.boots {
		g.entries[entry].ObserveBoot(g.now, engineID(i), ident.BootID(fmt.Sprint(boot)))
	}
}

// TestSharedEvidenceBoundsCrashes sends a crashing request at random entries beside innocent ones, over messages that are
// often lost, while entries are replaced. The upstreams lost after the third one are bounded, and the innocent
// requests stay out of quarantine. Three may be lost, and three more by sends that the evidence has not reached.
func TestSharedEvidenceBoundsCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGossips(rapid.IntRange(2, 6).Draw(t, "entries"), 8)
		isLost := func(int, int) bool { return rapid.IntRange(0, 3).Draw(t, "loss") == 0 }
		innocents := []poison.Digest{"", "innocent", "another"}
		for range 12 {
			entry := rapid.IntRange(0, len(g.entries)-1).Draw(t, "entry")
			g.send(entry, "poison", rapid.SampledFrom(innocents).Draw(t, "innocent"))
			for range 6 {
				g.share(isLost)
			}
			g.observe(rapid.IntRange(0, len(g.entries)-1).Draw(t, "observer"))
			for range 6 {
				g.share(isLost)
			}
			if rapid.IntRange(0, 4).Draw(t, "replace") == 0 {
				replaced := rapid.IntRange(0, len(g.entries)-1).Draw(t, "replaced")
				g.entries[replaced] = newModel(replaced)
				for range 6 {
					g.share(isLost)
				}
			}
		}
		if g.lost > 2*poison.MaxLosses {
			t.Fatalf("%d upstreams lost", g.lost)
		}
		for i, m := range g.entries {
			for _, d := range innocents[1:] {
				if m.Quarantined(d) {
					t.Fatalf("%q is quarantined on entry %d", d, i)
				}
			}
		}
	})
}

func noLoss(int, int) bool { return false }

// quarantined returns entries of which each has quarantined a request.
func quarantined(t *testing.T) *gossips {
	g := newGossips(3, 4)
	for i := range poison.MaxLosses {
		g.send(i, "d", "")
		g.share(noLoss)
		g.observe(i)
		g.share(noLoss)
	}
	for i, m := range g.entries {
		if !m.Quarantined("d") {
			t.Fatalf("entry %d has not quarantined the request", i)
		}
	}
	return g
}

// TestNewEntryLearnsOldVerdicts starts an entry long after the last new record was sent.
func TestNewEntryLearnsOldVerdicts(t *testing.T) {
	g := quarantined(t)
	for range 20 {
		g.share(noLoss)
	}
	late := newModel(3)
	g.entries = append(g.entries, late)
	for range 4 {
		g.share(noLoss)
	}
	if !late.Quarantined("d") {
		t.Error("the new entry has not learned of the quarantine")
	}
}

// TestQuarantineEndsAfterRetention checks that a quarantine ends on every entry at once, so that no entry brings it back.
func TestQuarantineEndsAfterRetention(t *testing.T) {
	g := quarantined(t)
	g.now = g.now.Add(time.Hour)
	var ended []ident.Cmd
	for i, m := range g.entries {
		m.TakeEvents()
		m.Tick(g.now)
		ended = append(ended, m.TakeEvents()...)
		g.share(noLoss)
		if s := m.Standing(g.now, "d"); s != poison.Clear {
			t.Errorf("standing %d on entry %d", s, i)
		}
	}
	want := []ident.Cmd{poison.ExpiredCmd{Digest: "d"}, poison.ExpiredCmd{Digest: "d"}, poison.ExpiredCmd{Digest: "d"}}
	if diff := cmp.Diff(want, ended); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// TestAnswerDisprovesLosses lets upstreams crash for another reason while a popular request is in flight, and then answer
// it. Its losses must not count any more on any entry, also where their records arrive again.
func TestAnswerDisprovesLosses(t *testing.T) {
	g := newGossips(2, 3)
	for range 2 {
		g.send(0, "popular", "")
	}
	g.share(noLoss)
	g.observe(0)
	g.share(noLoss)
	standings := func() []poison.Standing {
		return []poison.Standing{g.entries[0].Standing(g.now, "popular"), g.entries[1].Standing(g.now, "popular")}
	}
	if diff := cmp.Diff([]poison.Standing{poison.Suspect, poison.Suspect}, standings()); diff != "" {
		t.Errorf("after the losses (-want +got):\n%s", diff)
	}
	g.entries[1].ObserveAnswer(g.now, "popular")
	for range 4 {
		g.share(noLoss)
	}
	if diff := cmp.Diff([]poison.Standing{poison.Clear, poison.Clear}, standings()); diff != "" {
		t.Errorf("after the answer (-want +got):\n%s", diff)
	}
}

// TestSilentLossCountsOnceConfirmed ends attempts without a byte from their upstreams. They count, and are shared, only
// once the upstreams are known to have restarted.
func TestSilentLossCountsOnceConfirmed(t *testing.T) {
	g := newGossips(2, 2)
	for i := range 2 {
		g.entries[0].RecordSilence(g.now, g.now, "d", poison.Loss{Upstream: engineID(i), Boot: "0"}, false)
	}
	standings := func() []poison.Standing {
		return []poison.Standing{g.entries[0].Standing(g.now, "d"), g.entries[1].Standing(g.now, "d")}
	}
	g.share(noLoss)
	before := standings()
	g.boots[0], g.boots[1] = 1, 1
	g.observe(0)
	g.share(noLoss)
	want := [][]poison.Standing{{poison.Clear, poison.Clear}, {poison.Suspect, poison.Suspect}}
	if diff := cmp.Diff(want, [][]poison.Standing{before, standings()}); diff != "" {
		t.Errorf("standings before and after the restarts (-want +got):\n%s", diff)
	}
}

// TestPostponedLossIsConfirmedLater keeps losses pending while the upstreams can't be observed.
func TestPostponedLossIsConfirmedLater(t *testing.T) {
	g := newGossips(1, 3)
	m := g.entries[0]
	for range 2 {
		g.send(0, "d", "")
	}
	for range 10 {
		g.now = g.now.Add(5 * time.Second)
		m.Postpone(g.now)
		m.Tick(g.now)
	}
	g.observe(0)
	g.now = g.now.Add(time.Minute)
	m.Tick(g.now)
	if diff := cmp.Diff(poison.Suspect, m.Standing(g.now, "d")); diff != "" {
		t.Errorf("standing (-want +got):\n%s", diff)
	}
}

// TestTrialsExcludeEachOther opens a trial on one entry; another entry must not try the request, nor try another one on
// the same upstream, until the trial has ended.
func TestTrialsExcludeEachOther(t *testing.T) {
	g := newGossips(2, 2)
	trial := poison.TrialBody{Digest: "d", ID: "t", Upstream: "engine-0"}
	g.entries[0].RequestTrial(g.now, trial)
	g.share(noLoss)
	other := g.entries[1]
	open := []bool{other.TriedElsewhere("d", ""), other.Occupied("engine-0", ""), slices.Contains(other.OccupiedUpstreams(), "engine-0")}
	g.entries[0].EndTrial(g.now, trial)
	g.share(noLoss)
	ended := []bool{other.TriedElsewhere("d", ""), other.Occupied("engine-0", ""), slices.Contains(other.OccupiedUpstreams(), "engine-0")}
	if diff := cmp.Diff([][]bool{{true, true, true}, {false, false, false}}, [][]bool{open, ended}); diff != "" {
		t.Errorf("tried elsewhere, occupied and listed, during and after the trial (-want +got):\n%s", diff)
	}
}

// TestCrashOfManyUpstreamsSharesLittle ends 20 upstreams at once, each with 40 requests in flight that are then answered
// elsewhere. All entries observe the ends. Each loss may be sent twice, besides a few known ones that are repeated.
func TestCrashOfManyUpstreamsSharesLittle(t *testing.T) {
	const upstreams, inFlight, entries, rounds = 20, 40, 10, 50
	g := newGossips(entries, upstreams)
	for i := range upstreams * inFlight {
		d := poison.Digest(fmt.Sprint("request-", i))
		loss := poison.Loss{Upstream: engineID(i % upstreams), Boot: "0"}
		g.entries[i%entries].RecordLoss(g.now, g.now, d, loss, false)
	}
	for i := range g.boots {
		g.boots[i] = 1
	}
	sent := 0
	for round := range rounds {
		g.now = g.now.Add(200 * time.Millisecond)
		for from, sender := range g.entries {
			records := sender.Share(g.now, entries)
			sent += len(records)
			for to, receiver := range g.entries {
				for _, rec := range records {
					if to == from {
						continue
					}
					if err := receiver.Receive(g.now, rec.Kind, rec.Body); err != nil {
						t.Fatal(err)
					}
				}
			}
			if round == 5 {
				g.observe(from)
				for i := from; i < upstreams*inFlight; i += entries {
					sender.ObserveAnswer(g.now, poison.Digest(fmt.Sprint("request-", i)))
				}
			}
		}
	}
	if bound := 2*upstreams*inFlight + 2*rounds; sent > bound {
		t.Errorf("%d records sent, at most %d may be", sent, bound)
	}
}

// TestUnreadableRecordHasNoEffect receives records that are no JSON, or of another shape.
func TestUnreadableRecordHasNoEffect(t *testing.T) {
	for _, kind := range []ledger.Kind{poison.KindLoss, poison.KindQuarantine, poison.KindAnswer, poison.KindTrial, poison.KindTrialEnd, poison.KindRelease} {
		for _, body := range []string{"", "{", `{"digest":1}`} {
			m := newModel(0)
			if err := m.Receive(start, kind, []byte(body)); err == nil || !m.IsEmpty() {
				t.Errorf("%s %q: error %v", kind, body, err)
			}
		}
	}
}

// BenchmarkTick drops outdated evidence, with as many losses as a model holds, none of them pending.
func BenchmarkTick(b *testing.B) {
	m := newModel(0)
	for i := range 4096 {
		loss := poison.Loss{Upstream: engineID(i), Boot: "0"}
		m.RecordLoss(start, start, poison.Digest(fmt.Sprint(i)), loss, false)
		m.ObserveBoot(start, loss.Upstream, "1")
	}
	now := start.Add(time.Minute)
	for b.Loop() {
		m.Tick(now)
	}
}
