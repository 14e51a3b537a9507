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

// init sets the default seed of the random tests; the command line overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simEntry is one process and its last read that reached the log's end.
type simEntry struct {
	m *Membership
	// lastRead is when that read began.
	lastRead time.Time
	// logEnd is the offset of the log's end at that time.
	logEnd int64
}

// sim runs memberships over one log that drops old records, and to which appends arrive late, twice or never.
type sim struct {
	t       *rapid.T
	now     time.Time
	entries []*simEntry
	boots   int
	// inFlight holds the appends that have not reached the log or may reach it again.
	inFlight []ledger.Record
	// log holds every record ever appended; those from first on are retained.
	log   []ledger.Entry
	first int64
	// full folds every record; states holds its state before each offset.
	full   *Roster
	states []State
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Unix(1_700_000_000, 0), full: NewRoster()}
	s.states = []State{s.full.State()}
	for i := range 3 {
		s.entries = append(s.entries, &simEntry{})
		s.boot(i)
	}
	return s
}

// boot replaces a process by a new one of the same name that is ready to serve.
func (s *sim) boot(i int) {
	s.boots++
	id := ident.EntryID(fmt.Sprint("entry-", i))
	m := NewMembership(WithLease(simLease), WithSnapshots(id, uint64(s.boots), 4, 30*time.Second))
	*s.entries[i] = simEntry{m: m}
	s.deliver(s.entries[i], SelfMsg{Member{Entry: id, Incarnation: ident.BootID(fmt.Sprint("boot-", s.boots))}})
	s.deliver(s.entries[i], WantMsg{Member: true})
}

func (s *sim) pick() *simEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }

// deliver updates an entry with a message and puts its appends in flight.
func (s *sim) deliver(e *simEntry, msg ident.Msg) {
	for _, cmd := range e.m.Update(s.now, msg) {
		if cmd, ok := cmd.(AppendCmd); ok {
			s.inFlight = append(s.inFlight, cmd.Record)
		}
		if cmd, ok := cmd.(DivergedCmd); ok {
			s.t.Fatalf("folds diverged: %+v", cmd)
		}
	}
}

// appendInFlight appends one in-flight record to the log; the record may stay in flight and be appended twice.
func (s *sim) appendInFlight(*rapid.T) {
	if len(s.inFlight) == 0 {
		s.t.Skip("no append is in flight")
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "record")
	e := ledger.Entry{Offset: int64(len(s.log)), Record: s.inFlight[i]}
	s.log = append(s.log, e)
	s.full.Update(s.now, ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: []ledger.Entry{e}, Next: e.Offset + 1,
	})
	s.states = append(s.states, s.full.State())
	if rapid.IntRange(0, 3).Draw(s.t, "again") > 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// read delivers some of the records that an entry reads next; time passes while the batch is in flight.
func (s *sim) read(*rapid.T) {
	e := s.pick()
	from := min(max(e.m.Roster().ReadOffset(), s.first), int64(len(s.log)))
	until := min(from+rapid.Int64Range(0, 12).Draw(s.t, "records"), int64(len(s.log)))
	batch := ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: slices.Clone(s.log[from:until]), First: s.first, Next: int64(len(s.log)),
		ReadStart: s.now,
	}
	readAt := s.now
	s.advanceTime(s.t)
	s.deliver(e, batch)
	if e.m.Roster().Next() >= batch.Next {
		e.lastRead, e.logEnd = readAt, batch.Next
	}
}

func (s *sim) advanceTime(*rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *sim) tick(*rapid.T) { s.deliver(s.pick(), TickMsg{}) }

// truncate drops old records from the log.
func (s *sim) truncate(*rapid.T) {
	s.first = rapid.Int64Range(s.first, int64(len(s.log))).Draw(s.t, "first")
}

func (s *sim) restart(*rapid.T) { s.boot(rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "restarted")) }

// failPings fails pings to an entry until two entries accuse it.
func (s *sim) failPings(*rapid.T) {
	to := s.pick().m.Self()
	for _, e := range s.entries {
		for range missThreshold {
			s.deliver(e, PingFailedMsg{To: to})
		}
		s.deliver(e, HeardMsg{From: Member{Entry: "other"}, Accusations: []Accusation{{"other", to.Entry, to.Incarnation}}})
	}
}

func (s *sim) restoreFromPeer(*rapid.T) {
	s.deliver(s.pick(), PeerStatesMsg{States: []State{s.pick().m.Roster().State()}})
}

// check compares each fold with the fold of every record, and checks that each lease holder was a member at its
// last read that reached the log's end and that this read is recent enough.
func (s *sim) check(*rapid.T) {
	for _, e := range s.entries {
		r := e.m.Roster()
		if diff := cmp.Diff(s.states[r.Next()], r.State()); diff != "" {
			s.t.Fatalf("fold up to offset %d (-every record +snapshots):\n%s", r.Next(), diff)
		}
		if !e.m.Holds(s.now) {
			continue
		}
		member := slices.Contains(s.states[e.logEnd].Members, e.m.Self())
		if !member || s.now.Sub(e.lastRead) >= simLease {
			s.t.Fatalf("%+v acts as a member %s after it read up to %d", e.m.Self(), s.now.Sub(e.lastRead), e.logEnd)
		}
	}
}

func TestFoldWithSnapshotsMatchesFullFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"": s.check, "land": s.appendInFlight, "read": s.read, "read more": s.read, "pass": s.advanceTime, "tick": s.tick,
			"age": s.truncate, "restart": s.restart, "miss": s.failPings, "ask": s.restoreFromPeer,
		})
	})
}
