package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/poison"
)

var start = time.Unix(1000, 0)

// appended returns the records that commands append.
func appended(cmds []ident.Cmd) (records []ledger.Record) {
	for _, cmd := range cmds {
		records = append(records, cmd.(poison.AppendCmd).Record)
	}
	return records
}

func batch(from int, records []ledger.Record) (b ledger.BatchMsg) {
	b.Stream = ledger.StreamVerdict
	for i, rec := range records {
		b.Entries = append(b.Entries, ledger.Entry{Offset: int64(from + i), Record: rec})
	}
	return b
}

// TestCrashingRequestIsQuarantined sends a crashing request from random entries, one attempt after another, beside
// a harmless one that is lost with it. The limit on lost upstreams holds in total while the log is available, and
// for each entry while it is not. The harmless request must not be quarantined.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		logUp := rapid.Bool().Draw(t, "log up")
		entries := []*poison.Model{poison.NewModel("a"), poison.NewModel("b"), poison.NewModel("c")}
		var log []ledger.Record
		now, lost := start, 0
		for range rapid.IntRange(1, 12).Draw(t, "sendings") {
			e := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			standing := e.Standing(now, "poison")
			if standing == poison.Quarantined {
				continue
			}
			lost++
			loss := poison.Loss{Upstream: engineID(rapid.IntRange(0, 2).Draw(t, "upstream")), Boot: "old"}
			log = append(log, appended(e.RecordLoss(now, now, "poison", loss, standing == poison.Suspect))...)
			if standing == poison.Clear {
				log = append(log, appended(e.RecordLoss(now, now, "innocent", loss, false))...)
			}
			if logUp {
				foldAll(now, entries, log)
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "probe")) * time.Millisecond)
			for _, observer := range entries {
				log = append(log, appended(observer.ObserveBoot(now, loss.Upstream, "new"))...)
			}
			if logUp {
				foldAll(now, entries, log)
			}
		}
		maxLost := poison.MaxLosses
		if !logUp {
			maxLost *= len(entries)
		}
		if lost > maxLost {
			t.Fatalf("%d upstreams lost, the bound is %d", lost, maxLost)
		}
		for i, e := range entries {
			if s := e.Standing(now, "innocent"); s == poison.Quarantined {
				t.Fatalf("the harmless request is quarantined on entry %d", i)
			}
			if s := e.Standing(now, "poison"); logUp && lost == maxLost && s != poison.Quarantined {
				t.Fatalf("the crashing request has standing %d on entry %d", s, i)
			}
		}
	})
}

func foldAll(now time.Time, entries []*poison.Model, log []ledger.Record) {
	for _, e := range entries {
		e.Fold(now, batch(0, log))
	}
}

// TestQuarantineClearsOtherRequests quarantines one of two requests that were lost together; the other one must
// become clear.
func TestQuarantineClearsOtherRequests(t *testing.T) {
	m := poison.NewModel("a")
	for i := range 2 {
		loss := poison.Loss{Upstream: engineID(i), Boot: "old"}
		m.RecordLoss(start, start, "poison", loss, false)
		m.RecordLoss(start, start, "innocent", loss, false)
	}
	standings := func() []poison.Standing {
		return []poison.Standing{m.Standing(start, "poison"), m.Standing(start, "innocent")}
	}
	if diff := cmp.Diff([]poison.Standing{poison.Suspect, poison.Suspect}, standings()); diff != "" {
		t.Errorf("after two losses (-want +got):\n%s", diff)
	}
	m.RecordLoss(start, start, "poison", poison.Loss{Upstream: "engine-2", Boot: "old"}, true)
	for i := range 3 {
		m.ObserveBoot(start, engineID(i), "new")
	}
	if diff := cmp.Diff([]poison.Standing{poison.Quarantined, poison.Clear}, standings()); diff != "" {
		t.Errorf("after the loss alone (-want +got):\n%s", diff)
	}
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("engine-%d", i)) }

// TestBrokenStreamsWithoutRestartAreIgnored breaks streams of upstreams that continue under the same boot.
func TestBrokenStreamsWithoutRestartAreIgnored(t *testing.T) {
	m := poison.NewModel("a")
	now := start
	for i := range 5 {
		m.RecordLoss(now, now, "d", poison.Loss{Upstream: engineID(i), Boot: "same"}, i >= 2)
		m.ObserveBoot(now, engineID(i), "same")
	}
	now = now.Add(4 * time.Second)
	m.Tick(now)
	if diff := cmp.Diff(poison.Clear, m.Standing(now, "d")); diff != "" {
		t.Errorf("standing (-want +got):\n%s", diff)
	}
}

// TestReleaseAppliesOnce folds a release and duplicates of the records before it, then new losses and a duplicate
// of the release.
func TestReleaseAppliesOnce(t *testing.T) {
	m, late := poison.NewModel("a"), poison.NewModel("b")
	var old []ledger.Record
	crash := func(boot ident.BootID) (records []ledger.Record) {
		for i := range poison.MaxLosses {
			loss := poison.Loss{Upstream: engineID(i), Boot: boot}
			records = append(records, appended(m.RecordLoss(start, start, "d", loss, i == 2))...)
			records = append(records, appended(m.ObserveBoot(start, engineID(i), boot+"/next"))...)
		}
		return records
	}
	if got := m.Release(start, "d", "rule"); got != nil {
		t.Errorf("release without a quarantine: %v", got)
	}
	old = crash("old")
	m.Fold(start, batch(0, old))
	release := appended(m.Release(start, "d", "rule"))
	if diff := cmp.Diff(1, len(release)); diff != "" {
		t.Fatalf("release records (-want +got):\n%s", diff)
	}
	standings := func() []poison.Standing {
		return []poison.Standing{m.Standing(start, "d"), late.Standing(start, "d")}
	}
	log := append(append(old, release...), append(release, old...)...)
	m.Fold(start, batch(0, log))
	late.Fold(start, batch(0, log))
	if diff := cmp.Diff([]poison.Standing{poison.Clear, poison.Clear}, standings()); diff != "" {
		t.Errorf("after the release (-want +got):\n%s", diff)
	}
	log = append(append(log, crash("new")...), release...)
	m.Fold(start, batch(0, log))
	late.Fold(start, batch(0, log))
	if diff := cmp.Diff([]poison.Standing{poison.Quarantined, poison.Quarantined}, standings()); diff != "" {
		t.Errorf("after new losses and the same release again (-want +got):\n%s", diff)
	}
	if got := m.Release(start, "d", "rule"); got != nil {
		t.Errorf("second release by one rule: %v", got)
	}
	if diff := cmp.Diff(1, len(m.Release(start, "d", "another rule"))); diff != "" {
		t.Errorf("release by another rule (-want +got):\n%s", diff)
	}
}

// TestRecordsAreResentUntilFolded checks that a record is resent until it is read back from the log.
func TestRecordsAreResentUntilFolded(t *testing.T) {
	m := poison.NewModel("a")
	first := appended(m.RecordLoss(start, start, "d", poison.Loss{Upstream: "engine-0", Boot: "old"}, false))
	var resent []ledger.Record
	for i := range 10 {
		resent = append(resent, appended(m.Tick(start.Add(time.Duration(i)*time.Second)))...)
	}
	if diff := cmp.Diff(first[0], resent[0]); diff != "" {
		t.Errorf("resent record (-want +got):\n%s", diff)
	}
	m.Fold(start, batch(0, first))
	if diff := cmp.Diff(0, len(m.Tick(start.Add(time.Hour)))); diff != "" {
		t.Errorf("records resent after they were read back (-want +got):\n%s", diff)
	}
}

// TestTrialLossesCountOnceConfirmed breaks streams of a weight version on trial; they must count only after the
// upstreams report new boots.
func TestTrialLossesCountOnceConfirmed(t *testing.T) {
	m := poison.NewModel("a")
	for i := range 3 {
		m.RecordLoss(start, start, "request", poison.Loss{Upstream: engineID(i), Boot: "old", OnTrial: true}, i == 2)
	}
	standings := []poison.Standing{m.Standing(start, "request")}
	for i := range 3 {
		m.ObserveBoot(start, engineID(i), "new")
	}
	standings = append(standings, m.Standing(start, "request"))
	if diff := cmp.Diff([]poison.Standing{poison.Clear, poison.Quarantined}, standings); diff != "" {
		t.Errorf("standing before and after the new boots (-want +got):\n%s", diff)
	}
}
