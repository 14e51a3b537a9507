package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// start is the time at which every test begins.
var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// defaultSteps is the number of actions in a random run, unless set on the command line.
const defaultSteps = "200"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.steps").Value.String() == flag.Lookup("rapid.steps").DefValue {
		_ = flag.Set("rapid.steps", defaultSteps)
	}
	os.Exit(m.Run())
}

// fakeLog is a log that retains the records from first on; all holds every record ever appended.
type fakeLog struct {
	all   []ledger.Entry
	first int64
}

func (l *fakeLog) next() int64 { return int64(len(l.all)) }

func (l *fakeLog) append(rec ledger.Record) {
	l.all = append(l.all, ledger.Entry{Offset: l.next(), Record: rec})
}

func (l *fakeLog) read(from int64, limit int) ledger.BatchMsg {
	b := ledger.BatchMsg{Stream: ledger.StreamConfig, First: l.first, Next: l.next()}
	from = max(from, l.first)
	b.Entries = l.all[min(from, l.next()):min(from+int64(limit), l.next())]
	return b
}

// retain drops all but the last records.
func (l *fakeLog) retain(records int64) { l.first = max(l.first, l.next()-records) }

func proposal(t interface{ Fatal(...any) }, id string, base int64, text string) ledger.Record {
	rec, err := ledger.NewRecord(id, ledger.KindConfig, "w", ledger.ConfigBody{Base: base, Operator: "op-" + id, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

// oracle is a reference fold of every record, without window, snapshots or retention.
type oracle struct {
	version  int64
	verdicts map[string]ledger.Verdict
	// versions holds the version in force after each offset.
	versions []int64
}

func (o *oracle) fold(e ledger.Entry, base int64, config bool) {
	if config {
		if _, seen := o.verdicts[e.Record.ID]; !seen {
			o.verdicts[e.Record.ID] = ledger.Conflict
			if base == o.version {
				o.version, o.verdicts[e.Record.ID] = e.Offset+1, ledger.Accepted
			}
		}
	}
	o.versions = append(o.versions, o.version)
}

// world is a log with entries that fold it.
type world struct {
	t       *rapid.T
	now     time.Time
	log     *fakeLog
	truth   *oracle
	bases   map[string]int64
	records []ledger.Record
	folds   []*ledger.Config
	// announced holds each fold's last announced version.
	announced map[*ledger.Config]int64
	// states holds the digest of the state at each offset.
	states map[int64]uint64
	seed   uint64
	// maxRecords and interval are the limits since the newest snapshot.
	maxRecords int64
	interval   time.Duration
	// isolated prevents entries from querying each other.
	isolated bool
	// minAppends is the minimum number of times that an append takes effect.
	minAppends int
}

func newWorld(t *rapid.T, maxRecords int64) *world {
	w := &world{
		t: t, now: start, log: &fakeLog{}, truth: &oracle{verdicts: map[string]ledger.Verdict{}},
		bases: map[string]int64{}, announced: map[*ledger.Config]int64{}, states: map[int64]uint64{},
		maxRecords: maxRecords, interval: time.Minute,
	}
	for range 3 {
		w.folds = append(w.folds, w.newFold())
	}
	return w
}

func (w *world) newFold() *ledger.Config {
	w.seed++
	return ledger.NewConfig(ledger.WithEntry(ident.EntryID(fmt.Sprint("e", w.seed)), w.seed),
		ledger.WithSnapshots(w.maxRecords, w.interval))
}

func (w *world) append(rec ledger.Record) {
	w.log.append(rec)
	w.truth.fold(w.log.all[len(w.log.all)-1], w.bases[rec.ID], rec.Kind == ledger.KindConfig)
}

// propose appends a new proposal on the version in force or on an earlier one.
func (w *world) propose() {
	id := fmt.Sprint("p", len(w.records))
	w.bases[id] = w.truth.version
	if rapid.IntRange(0, 3).Draw(w.t, "stale") == 0 {
		w.bases[id] = rapid.Int64Range(0, w.truth.version).Draw(w.t, "base")
	}
	rec := proposal(w.t, id, w.bases[id], "# "+id)
	w.records = append(w.records, rec)
	w.append(rec)
}

// repeat appends an earlier proposal again.
func (w *world) repeat() {
	if len(w.records) > 0 {
		w.append(rapid.SampledFrom(w.records).Draw(w.t, "repeat"))
	}
}

// appendOther appends records of another kind, so that proposals leave the window.
func (w *world) appendOther() {
	for range rapid.SampledFrom([]int{1, 5, ledger.OutcomeWindow}).Draw(w.t, "noise") {
		w.append(ledger.Record{ID: "noise", Kind: "other"})
	}
}

// drawFold returns the index of a random fold.
func (w *world) drawFold() (i int) { return rapid.IntRange(0, len(w.folds)-1).Draw(w.t, "fold") }

func (w *world) readBatch(f *ledger.Config, limit int) {
	w.update(f, w.log.read(f.ReadOffset(), limit))
}

func (w *world) update(f *ledger.Config, msg ident.Msg) {
	for _, cmd := range f.Update(w.now, msg) {
		switch cmd := cmd.(type) {
		case ledger.AppendCmd:
			for range rapid.IntRange(w.minAppends, 2).Draw(w.t, "appended") {
				w.append(cmd.Record)
			}
		case ledger.AskPeersCmd:
			w.answerQuery(f)
		case ledger.InForceCmd:
			if cmd.Version < w.announced[f] {
				w.t.Fatalf("version %d announced after version %d", cmd.Version, w.announced[f])
			}
			w.announced[f] = cmd.Version
		case ledger.DivergedCmd:
			w.t.Fatalf("diverged: %+v", cmd)
		}
	}
	w.check(f)
}

func (w *world) answerQuery(f *ledger.Config) {
	msg := ledger.PeerStatesMsg{}
	for _, other := range w.folds {
		if other != f && !w.isolated && other.Current() && rapid.Bool().Draw(w.t, "reached") {
			msg.States = append(msg.States, other.State())
		}
	}
	w.update(f, msg)
}

func (w *world) check(f *ledger.Config) {
	s := f.State()
	if known, ok := w.states[s.Next]; ok && known != s.Digest {
		w.t.Fatalf("two states at offset %d", s.Next)
	}
	w.states[s.Next] = s.Digest
	if s.Next > 0 {
		if diff := cmp.Diff(w.truth.versions[s.Next-1], s.Version); diff != "" {
			w.t.Fatalf("version at offset %d (-want +got):\n%s", s.Next, diff)
		}
	}
	for _, k := range s.Outcomes {
		accepted := w.truth.verdicts[k.ID] == ledger.Accepted
		if k.Outcome.Verdict == ledger.Accepted && !accepted || k.Outcome.Verdict == ledger.Conflict && accepted {
			w.t.Fatalf("%s is %s to the fold and %s to the oracle", k.ID, k.Outcome.Verdict, w.truth.verdicts[k.ID])
		}
	}
}

// TestFoldAgreesUnderRetention lets entries read, lag, restart and query each other while
// records are repeated and dropped, and compares each state with a fold of every record.
func TestFoldAgreesUnderRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 8)
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) { w.propose() },
			"repeat":  func(*rapid.T) { w.repeat() },
			"noise":   func(*rapid.T) { w.appendOther() },
			"step":    func(t *rapid.T) { w.readBatch(w.folds[w.drawFold()], rapid.IntRange(1, 40).Draw(t, "most")) },
			"retain":  func(t *rapid.T) { w.log.retain(rapid.Int64Range(0, 30).Draw(t, "retain")) },
			"restart": func(*rapid.T) { w.folds[w.drawFold()] = w.newFold() },
			"away":    func(*rapid.T) { w.update(w.folds[w.drawFold()], ledger.ReadFailedMsg{Stream: ledger.StreamConfig}) },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
				w.update(w.folds[w.drawFold()], ledger.TickMsg{})
			},
		})
	})
}

// TestSnapshotPrecedesRetention retains few records on few entries. After each proposal a newcomer that can't
// query the others must restore the version in force from the log alone.
func TestSnapshotPrecedesRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1000)
		w.interval, w.isolated, w.minAppends = time.Hour, true, 1
		for range 20 {
			w.propose()
			w.now = w.now.Add(3 * time.Second)
			for _, f := range w.folds {
				w.readBatch(f, 1000)
			}
			w.log.retain(12)
			newcomer := w.newFold()
			for range 4 {
				w.update(newcomer, w.log.read(newcomer.ReadOffset(), 1000))
			}
			if diff := cmp.Diff(w.truth.version, newcomer.Version()); diff != "" || !newcomer.Current() {
				t.Fatalf("a newcomer's version, current %v (-want +got):\n%s", newcomer.Current(), diff)
			}
		}
	})
}

// TestIdleStreamRepeatsSnapshots expects a snapshot per interval without new records: a log that retains
// records for a limited time would drop the last one otherwise.
func TestIdleStreamRepeatsSnapshots(t *testing.T) {
	log := &fakeLog{}
	log.append(proposal(t, "p", 0, "# p"))
	f := ledger.NewConfig(ledger.WithEntry("e", 1), ledger.WithSnapshots(64, time.Minute))
	f.Update(start, log.read(0, 10))
	for minute := 1; minute <= 5; minute++ {
		appended := 0
		for _, cmd := range f.Update(start.Add(time.Duration(minute)*time.Minute), ledger.TickMsg{}) {
			if cmd, ok := cmd.(ledger.AppendCmd); ok {
				log.append(cmd.Record)
				appended++
			}
		}
		if diff := cmp.Diff(1, appended); diff != "" {
			t.Errorf("minute %d, snapshots (-want +got):\n%s", minute, diff)
		}
		f.Update(start.Add(time.Duration(minute)*time.Minute), log.read(f.ReadOffset(), 10))
		log.retain(1)
		newcomer := ledger.NewConfig()
		newcomer.Update(start, log.read(0, 10))
		if diff := cmp.Diff(int64(1), newcomer.Version()); diff != "" {
			t.Fatalf("minute %d, the newcomer's version (-want +got):\n%s", minute, diff)
		}
	}
}

// TestNoSnapshotWithoutReads expects no snapshots while the log's reads fail, though it accepts appends.
func TestNoSnapshotWithoutReads(t *testing.T) {
	log := &fakeLog{}
	log.append(proposal(t, "p", 0, "# p"))
	f := ledger.NewConfig(ledger.WithEntry("e", 1), ledger.WithSnapshots(1, time.Minute))
	f.Update(start, log.read(0, 10))
	appended := 0
	count := func(now time.Time, msg ident.Msg) {
		for _, cmd := range f.Update(now, msg) {
			if _, ok := cmd.(ledger.AppendCmd); ok {
				appended++
			}
		}
	}
	count(start, ledger.ReadFailedMsg{Stream: ledger.StreamConfig})
	for second := range 100 {
		count(start.Add(time.Duration(second)*time.Second), ledger.TickMsg{})
	}
	if diff := cmp.Diff(0, appended); diff != "" {
		t.Errorf("snapshots while the log is unavailable (-want +got):\n%s", diff)
	}
	count(start.Add(100*time.Second), log.read(f.ReadOffset(), 10))
	if diff := cmp.Diff(1, appended); diff != "" {
		t.Errorf("snapshots once it is available again (-want +got):\n%s", diff)
	}
}

// TestFewSnapshotsAfterBurst makes a snapshot due on 100 entries at once and bounds the number appended;
// each becomes visible after 50 ms.
func TestFewSnapshotsAfterBurst(t *testing.T) {
	const entries, latency, maxSnapshots = 100, 5, 20
	log := &fakeLog{}
	var folds []*ledger.Config
	for i := range uint64(entries) {
		folds = append(folds, ledger.NewConfig(ledger.WithEntry(ident.EntryID(fmt.Sprint(i)), i)))
	}
	for i := range int64(64) {
		log.append(proposal(t, fmt.Sprint(i), i, "# v"))
	}
	appended := 0
	var delayed [latency][]ledger.Record
	for tick := range 300 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		for _, rec := range delayed[tick%latency] {
			log.append(rec)
		}
		delayed[tick%latency] = nil
		for _, f := range folds {
			for _, cmd := range f.Update(now, log.read(f.ReadOffset(), 1000)) {
				if cmd, ok := cmd.(ledger.AppendCmd); ok {
					delayed[tick%latency] = append(delayed[tick%latency], cmd.Record)
					appended++
				}
			}
		}
	}
	if appended == 0 || appended > maxSnapshots {
		t.Errorf("%d snapshots, expected 1 to %d", appended, maxSnapshots)
	}
}

// TestNewcomerAnnouncesOnlyLatestVersion reads a log in several batches; no version may be announced before the end.
func TestNewcomerAnnouncesOnlyLatestVersion(t *testing.T) {
	log := &fakeLog{}
	for i := range int64(5) {
		log.append(proposal(t, fmt.Sprint(i), i, "# v"))
	}
	f := ledger.NewConfig()
	var announced []int64
	for range 3 {
		for _, cmd := range f.Update(start, log.read(f.ReadOffset(), 2)) {
			if cmd, ok := cmd.(ledger.InForceCmd); ok {
				announced = append(announced, cmd.Version)
			}
		}
	}
	if diff := cmp.Diff([]int64{5}, announced); diff != "" {
		t.Errorf("announced versions (-want +got):\n%s", diff)
	}
}

// TestOldProposalIsNotAcceptedTwice repeats an accepted proposal after its outcome has left the window.
func TestOldProposalIsNotAcceptedTwice(t *testing.T) {
	log := &fakeLog{}
	first := proposal(t, "first", 0, "# one")
	log.append(first)
	log.append(proposal(t, "second", 1, "# two"))
	for range ledger.OutcomeWindow {
		log.append(ledger.Record{ID: "noise", Kind: "other"})
	}
	log.append(first)
	f := ledger.NewConfig()
	f.Update(start, log.read(0, 10000))
	got, _ := f.Outcome("first")
	if diff := cmp.Diff(ledger.Outcome{Verdict: ledger.Expired, Version: 2, Winner: "op-second"}, got); diff != "" {
		t.Errorf("outcome of the late repeat (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("# two", f.Text()); diff != "" {
		t.Errorf("file in force (-want +got):\n%s", diff)
	}
}
