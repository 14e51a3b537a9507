package roster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// twin starts a second process under the name of a running one.
func (s *sim) twin(*rapid.T) {
	s.entries = append(s.entries, &simEntry{})
	s.boots++
	id := s.pickNamed().m.Self().Entry
	e := s.entries[len(s.entries)-1]
	*e = simEntry{m: NewMembership(WithLease(simLease), WithSnapshots(id, uint64(s.boots), 4, 30*time.Second))}
	s.take(e, SelfMsg{Member{Entry: id, Incarnation: ident.BootID(fmt.Sprint("boot-", s.boots))}})
	s.take(e, WantMsg{Member: true})
}

// pickNamed draws a process that has its name already.
func (s *sim) pickNamed() *simEntry {
	return rapid.SampledFrom(s.entries[:len(s.entries)-1]).Draw(s.t, "twin of")
}

// TestSupersededProcessIsNeverAMemberAgain runs processes of one name side by side. One that has
// found another under its name holds no lease and joins no more.
func TestSupersededProcessIsNeverAMemberAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		stopped := map[*simEntry]int{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				s.check(t)
				for _, e := range s.entries {
					if !e.m.Superseded() {
						continue
					}
					if e.m.Holds(s.now) {
						t.Fatalf("%+v holds a lease after it was superseded", e.m.Self())
					}
					if _, known := stopped[e]; !known {
						stopped[e] = e.m.records
					}
					if e.m.records != stopped[e] {
						t.Fatalf("%+v appended after it was superseded", e.m.Self())
					}
				}
			},
			"land": s.land, "read": s.read, "read more": s.read, "pass": s.pass, "tick": s.tick, "miss": s.miss, "twin": s.twin,
		})
	})
}

// joinLog makes a log in which entry x joins, leaves and joins again, with others around it.
func joinLog() (log []ledger.Entry) {
	r := NewRoster()
	add := func(kind ledger.Kind, body any) {
		rec, err := ledger.NewRecord(fmt.Sprint("r", len(log)), kind, "x", body)
		if err != nil {
			panic(err) // The bodies hold only strings and numbers.
		}
		e := ledger.Entry{Offset: int64(len(log)), Record: rec}
		log = append(log, e)
		r.Update(time.Time{}, ledger.BatchMsg{Stream: ledger.StreamRoster, Entries: []ledger.Entry{e}, Next: e.Offset + 1})
	}
	join := func(id ident.EntryID, boot ident.BootID) {
		add(KindJoin, JoinBody{Member{Entry: id, Incarnation: boot}, r.Version(id)})
	}
	join("self", "self")
	for i := range 3 {
		boot := ident.BootID(fmt.Sprint("x-", i))
		join("x", boot)
		join(ident.EntryID(fmt.Sprint("other-", i)), "other")
		add(KindLeave, Member{Entry: "x", Incarnation: boot})
	}
	return log
}

// TestLeavingEntryIsNeverAdvisedOnceItHasToldSo tells an entry, which may lag behind the log, that
// others leave; the answer lets their hold begin.
func TestLeavingEntryIsNeverAdvisedOnceItHasToldSo(t *testing.T) {
	log := joinLog()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		m := NewMembership()
		m.Update(now, SelfMsg{Member{Entry: "self", Incarnation: "self"}})
		told := map[ident.BootID]bool{}
		x := func(t *rapid.T) Member {
			return Member{Entry: "x", Incarnation: ident.BootID(fmt.Sprint("x-", rapid.IntRange(0, 2).Draw(t, "incarnation")))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, a := range m.Watch().Advised(now) {
					if told[a.Incarnation] {
						t.Fatalf("%+v is advised after it has told that it leaves", a)
					}
				}
			},
			"read": func(t *rapid.T) {
				from := m.Roster().Next()
				until := min(from+rapid.Int64Range(0, 3).Draw(t, "records"), int64(len(log)))
				m.Update(now, ledger.BatchMsg{
					Stream: ledger.StreamRoster, Entries: log[from:until], Next: int64(len(log)), Asked: now,
				})
			},
			"leaves": func(t *rapid.T) {
				from := x(t)
				m.Update(now, HeardMsg{From: from, Leaving: true})
				told[from.Incarnation] = true
			},
			"crossed ping": func(t *rapid.T) { m.Update(now, HeardMsg{From: x(t)}) },
			"missed":       func(t *rapid.T) { m.Update(now, PingFailedMsg{To: x(t)}) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
