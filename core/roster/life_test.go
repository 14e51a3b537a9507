package roster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// bootDuplicate starts another process under the name of an existing one.
func (s *sim) bootDuplicate(*rapid.T) {
	s.entries = append(s.entries, &simEntry{})
	s.boots++
	id := s.pickOriginal().m.Self().Entry
	e := s.entries[len(s.entries)-1]
	*e = simEntry{m: NewMembership(WithLease(simLease), WithSnapshots(id, uint64(s.boots), 4, 30*time.Second))}
	s.deliver(e, SelfMsg{Member{Entry: id, Incarnation: ident.BootID(fmt.Sprint("boot-", s.boots))}})
	s.deliver(e, WantMsg{Member: true})
}

// pickOriginal draws a process other than the one just added.
func (s *sim) pickOriginal() *simEntry {
	return rapid.SampledFrom(s.entries[:len(s.entries)-1]).Draw(s.t, "twin of")
}

// TestSupersededProcessNeverRejoins runs several processes under one name. One that has found
// another process under its name must hold no lease and append no join, leave or removal.
func TestSupersededProcessNeverRejoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		countAtStop := map[*simEntry]int{}
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
					if _, known := countAtStop[e]; !known {
						countAtStop[e] = e.m.recordCount
					}
					if e.m.recordCount != countAtStop[e] {
						t.Fatalf("%+v appended after it was superseded", e.m.Self())
					}
				}
			},
			"land": s.appendInFlight, "read": s.read, "read more": s.read, "pass": s.advanceTime, "tick": s.tick,
			"miss": s.failPings, "twin": s.bootDuplicate,
		})
	})
}

// rejoinLog returns a log in which entry x joins and leaves three times while others join.
func rejoinLog() (log []ledger.Entry) {
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

// TestLeavingEntryIsNotAdvised announces incarnations of an entry as leaving to another entry, whose fold
// may lag behind the log. Their joins, folded afterwards, and pings that cross with the announcement must not
// make the entry advise them again: once all members have acknowledged the announcement, the leaving entry stays
// up only for as long as callers may still use advice from before.
func TestLeavingEntryIsNotAdvised(t *testing.T) {
	log := rejoinLog()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		m := NewMembership()
		m.Update(now, SelfMsg{Member{Entry: "self", Incarnation: "self"}})
		announced := map[ident.BootID]bool{}
		drawIncarnation := func(t *rapid.T) Member {
			return Member{Entry: "x", Incarnation: ident.BootID(fmt.Sprint("x-", rapid.IntRange(0, 2).Draw(t, "incarnation")))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, a := range m.Watch().Advised(now) {
					if announced[a.Incarnation] {
						t.Fatalf("%+v is advised after it announced that it leaves", a)
					}
				}
			},
			"read": func(t *rapid.T) {
				from := m.Roster().Next()
				until := min(from+rapid.Int64Range(0, 3).Draw(t, "records"), int64(len(log)))
				m.Update(now, ledger.BatchMsg{
					Stream: ledger.StreamRoster, Entries: log[from:until], Next: int64(len(log)), ReadStart: now,
				})
			},
			"leaves": func(t *rapid.T) {
				from := drawIncarnation(t)
				m.Update(now, HeardMsg{From: from, Leaving: true})
				announced[from.Incarnation] = true
			},
			"crossed ping": func(t *rapid.T) { m.Update(now, HeardMsg{From: drawIncarnation(t)}) },
			"missed":       func(t *rapid.T) { m.Update(now, PingFailedMsg{To: drawIncarnation(t)}) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
