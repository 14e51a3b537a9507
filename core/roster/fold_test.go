package roster

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

const simLease = 3 * time.Second

// init fixes the seed of the random runs where the command line names none.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simEntry is one process with what its last whole read of the log found.
type simEntry struct {
	m *Membership
	// read is when the last read began that reached the log's end, and end what the log had then.
	read time.Time
	end  int64
}

// sim runs memberships over one log that drops old records, and whose appends get lost, delayed and doubled.
type sim struct {
	t       *rapid.T
	now     time.Time
	entries []*simEntry
	boots   int
	wire    []ledger.Record
	// log holds every record, of which those from first on are retained.
	log   []ledger.Entry
	first int64
	// all folds every record; states holds its state before each offset.
	all    *Roster
	states []State
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Unix(1_700_000_000, 0), all: NewRoster()}
	s.states = []State{s.all.State()}
	for i := range 3 {
		s.entries = append(s.entries, &simEntry{})
		s.boot(i)
	}
	return s
}

// boot replaces a process by a new one of the same name that is fit to serve.
func (s *sim) boot(i int) {
	s.boots++
	id := ident.EntryID(fmt.Sprint("entry-", i))
	m := NewMembership(WithLease(simLease), WithSnapshots(id, uint64(s.boots), 4, 30*time.Second))
	*s.entries[i] = simEntry{m: m}
	s.take(s.entries[i], SelfMsg{Member{Entry: id, Incarnation: ident.BootID(fmt.Sprint("boot-", s.boots))}})
	s.take(s.entries[i], WantMsg{Member: true})
}

func (s *sim) pick() *simEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }

// take hands a message to an entry; its appends are on their way then.
func (s *sim) take(e *simEntry, msg ident.Msg) {
	for _, cmd := range e.m.Update(s.now, msg) {
		if cmd, ok := cmd.(AppendCmd); ok {
			s.wire = append(s.wire, cmd.Record)
		}
		if cmd, ok := cmd.(DivergedCmd); ok {
			s.t.Fatalf("folds diverged: %+v", cmd)
		}
	}
}

// land lets a record reach the log; it may stay on its way and land again.
func (s *sim) land(*rapid.T) {
	if len(s.wire) == 0 {
		s.t.Skip("nothing is on its way")
	}
	i := rapid.IntRange(0, len(s.wire)-1).Draw(s.t, "record")
	e := ledger.Entry{Offset: int64(len(s.log)), Record: s.wire[i]}
	s.log = append(s.log, e)
	s.all.Update(s.now, ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: []ledger.Entry{e}, Next: e.Offset + 1,
	})
	s.states = append(s.states, s.all.State())
	if rapid.IntRange(0, 3).Draw(s.t, "again") > 0 {
		s.wire = slices.Delete(s.wire, i, i+1)
	}
}

// read hands an entry some of the records that it wants; time passes while the batch is on its way.
func (s *sim) read(*rapid.T) {
	e := s.pick()
	from := min(max(e.m.Roster().Wanted(), s.first), int64(len(s.log)))
	until := min(from+rapid.Int64Range(0, 12).Draw(s.t, "records"), int64(len(s.log)))
	batch := ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: slices.Clone(s.log[from:until]), First: s.first, Next: int64(len(s.log)),
		Asked: s.now,
	}
	asked := s.now
	s.pass(s.t)
	s.take(e, batch)
	if e.m.Roster().Next() >= batch.Next {
		e.read, e.end = asked, batch.Next
	}
}

func (s *sim) pass(*rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *sim) tick(*rapid.T) { s.take(s.pick(), TickMsg{}) }

// age lets the log drop records.
func (s *sim) age(*rapid.T) {
	s.first = rapid.Int64Range(s.first, int64(len(s.log))).Draw(s.t, "first")
}

func (s *sim) restart(*rapid.T) { s.boot(rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "restarted")) }

// miss lets pings to an entry fail until it is accused by two.
func (s *sim) miss(*rapid.T) {
	to := s.pick().m.Self()
	for _, e := range s.entries {
		for range mostMisses {
			s.take(e, PingFailedMsg{To: to})
		}
		s.take(e, HeardMsg{From: Member{Entry: "other"}, Accusations: []Accusation{{"other", to.Entry, to.Incarnation}}})
	}
}

func (s *sim) ask(*rapid.T) {
	s.take(s.pick(), PeerStatesMsg{States: []State{s.pick().m.Roster().State()}})
}

// check compares each fold with the one of every record, and each lease with the log's end when it was read.
func (s *sim) check(*rapid.T) {
	for _, e := range s.entries {
		r := e.m.Roster()
		if diff := cmp.Diff(s.states[r.Next()], r.State()); diff != "" {
			s.t.Fatalf("fold up to offset %d (-every record +snapshots):\n%s", r.Next(), diff)
		}
		if !e.m.Holds(s.now) {
			continue
		}
		member := slices.Contains(s.states[e.end].Members, e.m.Self())
		if !member || s.now.Sub(e.read) >= simLease {
			s.t.Fatalf("%+v acts as a member %s after it read up to %d", e.m.Self(), s.now.Sub(e.read), e.end)
		}
	}
}

func TestFoldWithSnapshotsEqualsTheFoldOfEveryRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"": s.check, "land": s.land, "read": s.read, "read more": s.read, "pass": s.pass, "tick": s.tick, "age": s.age,
			"restart": s.restart, "miss": s.miss, "ask": s.ask,
		})
	})
}
