package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

var testNow = time.Unix(1_700_000_000, 0)

func testRecord(t *testing.T, kind ledger.Kind, body any) ledger.Record {
	t.Helper()
	rec, err := ledger.NewRecord("id", kind, "test", body)
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

// testBatch returns the records of a log from an offset to its end; first is the lowest retained offset.
func testBatch(log []ledger.Record, from, first int) ledger.BatchMsg {
	batch := ledger.BatchMsg{Stream: ledger.StreamRoster, First: int64(first), Next: int64(len(log)), ReadStart: testNow}
	for i := max(from, first); i < len(log); i++ {
		batch.Entries = append(batch.Entries, ledger.Entry{Offset: int64(i), Record: log[i]})
	}
	return batch
}

// logWithRemoval returns a log in which two entries join, one is removed and a snapshot follows, and the
// snapshot's state.
func logWithRemoval(t *testing.T) (log []ledger.Record, state State) {
	t.Helper()
	for _, m := range []Member{{Entry: "entry-0", Incarnation: "a"}, {Entry: "entry-1", Incarnation: "b"}} {
		log = append(log, testRecord(t, KindJoin, JoinBody{Member: m}))
	}
	log = append(log, testRecord(t, KindRemove, RemoveBody{Entry: "entry-1", Incarnation: "b", Epoch: 2}))
	r := NewRoster()
	r.Update(testNow, testBatch(log, 0, 0))
	return append(log, testRecord(t, KindSnapshot, r.State())), r.State()
}

func memberIDs(r *Roster) (ids []ident.EntryID) {
	for _, m := range r.Members() {
		ids = append(ids, m.Entry)
	}
	return ids
}

func TestSnapshotNeedsNextRecordRetained(t *testing.T) {
	log, _ := logWithRemoval(t)
	for first, want := range []int64{4, 4, 4, 4, 0} {
		r := NewRoster()
		r.Update(testNow, testBatch(log, first, first))
		if diff := cmp.Diff(want, r.Next()); diff != "" {
			t.Errorf("folded, with the records from %d on retained (-want +got):\n%s", first, diff)
		}
	}
}

func TestSnapshotDoesNotRestoreRemovedIncarnation(t *testing.T) {
	log, _ := logWithRemoval(t)
	old := NewRoster()
	old.Update(testNow, testBatch(log[:2], 0, 0))
	stale := testRecord(t, KindSnapshot, old.State())
	rejoin := testRecord(t, KindJoin, JoinBody{Member: Member{Entry: "entry-1", Incarnation: "b"}})
	log = append(log, stale, rejoin)
	one := []ident.EntryID{"entry-0"}
	for first, want := range [][]ident.EntryID{one, one, one, one, nil} {
		r := NewRoster()
		r.Update(testNow, testBatch(log, first, first))
		if first < 4 {
			r.Restore(old.State())
		}
		if diff := cmp.Diff(want, memberIDs(r)); diff != "" {
			t.Errorf("members, with the records from %d on retained (-want +got):\n%s", first, diff)
		}
	}
}

func TestDamagedSnapshotIsIgnored(t *testing.T) {
	log, state := logWithRemoval(t)
	state.Members = append(state.Members, Member{Entry: "entry-9"})
	log[3] = testRecord(t, KindSnapshot, state)
	r := NewRoster()
	r.Update(testNow, testBatch(log, 1, 1))
	if diff := cmp.Diff(0, len(r.Members())); diff != "" {
		t.Errorf("members from a damaged snapshot (-want +got):\n%s", diff)
	}
}

// countAppended counts the appended records of a kind.
func countAppended(cmds []ident.Cmd, kind ledger.Kind) (n int) {
	for _, cmd := range cmds {
		if cmd, ok := cmd.(AppendCmd); ok && cmd.Record.Kind == kind {
			n++
		}
	}
	return n
}

func TestNewEntryJoinsOnlyAfterRestoringState(t *testing.T) {
	log, state := logWithRemoval(t)
	m := NewMembership()
	m.Update(testNow, SelfMsg{Member{Entry: "entry-2", Incarnation: "c"}})
	m.Update(testNow, WantMsg{Member: true})
	cmds := m.Update(testNow, testBatch(log[:3], 1, 1))
	if diff := cmp.Diff([]int{0, 1}, []int{countAppended(cmds, KindJoin), countRequests(cmds)}); diff != "" {
		t.Errorf("joins and state requests without a state (-want +got):\n%s", diff)
	}
	m.Update(testNow, PeerStatesMsg{States: []State{state}})
	cmds = m.Update(testNow, testBatch(log[:3], 3, 1))
	if diff := cmp.Diff([]int{1, 0}, []int{countAppended(cmds, KindJoin), countRequests(cmds)}); diff != "" {
		t.Errorf("joins and state requests with a peer's state (-want +got):\n%s", diff)
	}
}

func countRequests(cmds []ident.Cmd) (n int) {
	for _, cmd := range cmds {
		if _, ok := cmd.(AskPeersCmd); ok {
			n++
		}
	}
	return n
}

// TestSnapshotIsAppendedBeforeLogTruncation uses a log that retains 16 records and gets one per second. No record
// may be dropped before a snapshot covers it.
func TestSnapshotIsAppendedBeforeLogTruncation(t *testing.T) {
	const retained = 16
	m := NewMembership(WithSnapshots("entry-0", 1, 0, time.Hour))
	var log []ledger.Record
	covered, now := int64(0), testNow
	for i := range 200 {
		log = append(log, testRecord(t, KindLeave, Member{Entry: "stranger"}))
		batch := testBatch(log, i, max(len(log)-retained, 0))
		batch.ReadStart = now
		cmds := append(m.Update(now, batch), m.Update(now.Add(time.Second/2), TickMsg{})...)
		if countAppended(cmds, KindSnapshot) > 0 {
			covered = m.Roster().Next()
			log = append(log, testRecord(t, KindSnapshot, m.Roster().State()))
		}
		now = now.Add(time.Second)
		if batch.First > covered {
			t.Fatalf("the log retains records from %d on, the newest snapshot covers those before %d", batch.First, covered)
		}
	}
}
