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

// appended collects the records of commands.
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

// TestRequestThatCrashesIsStopped sends one poison from entry to entry, each sending after
// the answer to the one before, beside innocents that are lost with it. The log is up or
// away; the upstreams lost stay within the bound for the log or for each entry.
func TestRequestThatCrashesIsStopped(t *testing.T) {
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
			log = append(log, appended(e.Lost(now, now, "poison", loss, standing == poison.Suspect))...)
			if standing == poison.Clear {
				log = append(log, appended(e.Lost(now, now, "innocent", loss, false))...)
			}
			if logUp {
				share(now, entries, log)
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "probe")) * time.Millisecond)
			for _, seer := range entries {
				log = append(log, appended(seer.Seen(now, loss.Upstream, "new"))...)
			}
			if logUp {
				share(now, entries, log)
			}
		}
		most := poison.MostLosses
		if !logUp {
			most *= len(entries)
		}
		if lost > most {
			t.Fatalf("%d upstreams lost, the bound is %d", lost, most)
		}
		for i, e := range entries {
			if s := e.Standing(now, "innocent"); s == poison.Quarantined {
				t.Fatalf("the innocent is quarantined on entry %d", i)
			}
			if s := e.Standing(now, "poison"); logUp && lost == most && s != poison.Quarantined {
				t.Fatalf("the poison has standing %d on entry %d", s, i)
			}
		}
	})
}

func share(now time.Time, entries []*poison.Model, log []ledger.Record) {
	for _, e := range entries {
		e.Fold(now, batch(0, log))
	}
}

// TestConvictionClearsInnocents convicts one of two requests that were lost together.
func TestConvictionClearsInnocents(t *testing.T) {
	m := poison.NewModel("a")
	for i := range 2 {
		loss := poison.Loss{Upstream: engineID(i), Boot: "old"}
		m.Lost(start, start, "poison", loss, false)
		m.Lost(start, start, "innocent", loss, false)
	}
	standings := func() []poison.Standing {
		return []poison.Standing{m.Standing(start, "poison"), m.Standing(start, "innocent")}
	}
	if diff := cmp.Diff([]poison.Standing{poison.Suspect, poison.Suspect}, standings()); diff != "" {
		t.Errorf("after two losses (-want +got):\n%s", diff)
	}
	m.Lost(start, start, "poison", poison.Loss{Upstream: "engine-2", Boot: "old"}, true)
	for i := range 3 {
		m.Seen(start, engineID(i), "new")
	}
	if diff := cmp.Diff([]poison.Standing{poison.Quarantined, poison.Clear}, standings()); diff != "" {
		t.Errorf("after the loss alone (-want +got):\n%s", diff)
	}
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("engine-%d", i)) }

// TestBrokenStreamsConvictNobody breaks streams of upstreams that go on under the same boot.
func TestBrokenStreamsConvictNobody(t *testing.T) {
	m := poison.NewModel("a")
	now := start
	for i := range 5 {
		m.Lost(now, now, "d", poison.Loss{Upstream: engineID(i), Boot: "same"}, i >= 2)
		m.Seen(now, engineID(i), "same")
	}
	now = now.Add(4 * time.Second)
	m.Tick(now)
	if diff := cmp.Diff(poison.Clear, m.Standing(now, "d")); diff != "" {
		t.Errorf("standing (-want +got):\n%s", diff)
	}
}

// TestReleaseEndsAQuarantineOnce folds a release, then the records of before it again, and then new losses.
func TestReleaseEndsAQuarantineOnce(t *testing.T) {
	m, late := poison.NewModel("a"), poison.NewModel("b")
	var old []ledger.Record
	crash := func(boot ident.BootID) (records []ledger.Record) {
		for i := range poison.MostLosses {
			loss := poison.Loss{Upstream: engineID(i), Boot: boot}
			records = append(records, appended(m.Lost(start, start, "d", loss, i == 2))...)
			records = append(records, appended(m.Seen(start, engineID(i), boot+"/next"))...)
		}
		return records
	}
	if got := m.Release("d", "rule"); got != nil {
		t.Errorf("release without a quarantine: %v", got)
	}
	old = crash("old")
	m.Fold(start, batch(0, old))
	release := appended(m.Release("d", "rule"))
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
	if got := m.Release("d", "rule"); got != nil {
		t.Errorf("second release by one rule: %v", got)
	}
	if diff := cmp.Diff(1, len(m.Release("d", "another rule"))); diff != "" {
		t.Errorf("release by another rule (-want +got):\n%s", diff)
	}
}

// TestRecordsOutlastALogOutage keeps a record until the log shows it.
func TestRecordsOutlastALogOutage(t *testing.T) {
	m := poison.NewModel("a")
	first := appended(m.Lost(start, start, "d", poison.Loss{Upstream: "engine-0", Boot: "old"}, false))
	var again []ledger.Record
	for i := range 10 {
		again = append(again, appended(m.Tick(start.Add(time.Duration(i)*time.Second)))...)
	}
	if diff := cmp.Diff(first[0], again[0]); diff != "" {
		t.Errorf("record appended again (-want +got):\n%s", diff)
	}
	m.Fold(start, batch(0, first))
	if diff := cmp.Diff(0, len(m.Tick(start.Add(time.Hour)))); diff != "" {
		t.Errorf("records appended after the log showed them (-want +got):\n%s", diff)
	}
}

// TestBreaksOnTrialCountOnceConfirmed breaks streams of a version on trial, with and without a new boot after them.
func TestBreaksOnTrialCountOnceConfirmed(t *testing.T) {
	m := poison.NewModel("a")
	for i := range 3 {
		m.Lost(start, start, "request", poison.Loss{Upstream: engineID(i), Boot: "old", OnTrial: true}, i == 2)
	}
	standings := []poison.Standing{m.Standing(start, "request")}
	for i := range 3 {
		m.Seen(start, engineID(i), "new")
	}
	standings = append(standings, m.Standing(start, "request"))
	if diff := cmp.Diff([]poison.Standing{poison.Clear, poison.Quarantined}, standings); diff != "" {
		t.Errorf("standing before and after the new boots (-want +got):\n%s", diff)
	}
}
