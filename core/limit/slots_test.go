package limit_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/roster"
)

const (
	target   = ident.UpstreamID("engine-0")
	capacity = 3
	step     = 20 * time.Millisecond
)

func timing() limit.Timing {
	return limit.Timing{
		Lease: 160 * time.Millisecond, Margin: 40 * time.Millisecond, Hold: 400 * time.Millisecond, Cold: time.Hour,
	}
}

// entry is a simulated entry.
type entry struct {
	membership *roster.Membership
	slots      *limit.Slots
	// pausedUntil is until when the entry handles no events.
	pausedUntil time.Time
}

// event runs when it is due, or once its entry is no longer paused; it belongs to the log if entry is -1.
type event struct {
	due   time.Time
	entry int
	run   func()
}

// simulation runs several entries with a log, an upstream and a network that delays messages.
type simulation struct {
	t       *rapid.T
	now     time.Time
	records []ledger.Entry
	entries []*entry
	events  []event
	// streams holds when each request ends on the upstream.
	streams       map[ident.RequestID]time.Time
	started       int
	maxConcurrent int
}

func newSimulation(t *rapid.T, entries int) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), streams: map[ident.RequestID]time.Time{}}
	for i := range entries {
		h := &entry{membership: roster.NewMembership(roster.WithLease(timing().Lease)), slots: limit.NewSlots(timing())}
		s.entries = append(s.entries, h)
		id := fmt.Sprintf("entry-%d", i)
		s.deliver(i, roster.SelfMsg{Member: roster.Member{Entry: ident.EntryID(id), Incarnation: ident.BootID(id + "-boot")}})
		s.deliver(i, roster.WantMsg{Member: true})
	}
	return s
}

func (s *simulation) delay() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 0, 1, 4, 12}).Draw(s.t, "delay")) * step
}

func (s *simulation) schedule(entry int, run func()) {
	s.events = append(s.events, event{s.now.Add(s.delay()), entry, run})
}

// deliver passes a message to an entry's membership and the resulting changes to its slots.
func (s *simulation) deliver(i int, msg ident.Msg) {
	h := s.entries[i]
	for _, cmd := range h.membership.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case roster.ChangedCmd:
			changed := limit.MembersMsg{Epoch: cmd.Epoch}
			for _, m := range cmd.Members {
				changed.Holders = append(changed.Holders, limit.Holder{Entry: m.Entry, Incarnation: m.Incarnation})
			}
			h.slots.Update(s.now, changed)
		case roster.LeaseCmd:
			self := limit.Holder{Entry: cmd.Member.Entry, Incarnation: cmd.Member.Incarnation}
			h.slots.Update(s.now, limit.LeaseMsg{Holder: self, Until: cmd.Until})
		case roster.AppendCmd:
			s.events = append(s.events, event{s.now.Add(s.delay()), -1, func() { s.appendRecord(cmd.Record) }})
		}
	}
}

func (s *simulation) appendRecord(rec ledger.Record) {
	s.records = append(s.records, ledger.Entry{Offset: int64(len(s.records)), Record: rec})
}

// readLog reads the current log; the entry receives the batch after a delay.
func (s *simulation) readLog(i int) {
	from := s.entries[i].membership.Roster().Next()
	batch := ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: s.records[from:], Next: int64(len(s.records)), ReadStart: s.now,
	}
	s.schedule(i, func() { s.deliver(i, batch) })
}

// removeMember appends the removal of a member in the current epoch of the log.
func (s *simulation) removeMember(i int) {
	all := roster.NewRoster()
	all.Update(s.now, ledger.BatchMsg{Stream: ledger.StreamRoster, Entries: s.records})
	m, known := all.Member(s.entries[i].membership.Self().Entry)
	if !known {
		return
	}
	raw, _ := json.Marshal(roster.RemoveBody{Entry: m.Entry, Incarnation: m.Incarnation, Epoch: all.Epoch()})
	s.appendRecord(ledger.Record{Kind: roster.KindRemove, Body: raw})
}

// startRequest starts a request if the entry has a free slot, and reports whether it had one.
func (s *simulation) startRequest(i int) bool {
	h := s.entries[i]
	s.started++
	id := ident.RequestID(fmt.Sprintf("r%d", s.started))
	got := h.slots.Acquire(s.now, target, capacity, id)
	s.deliverAsks(i, h.slots.TakeAsks())
	if !got {
		return false
	}
	runs := time.Duration(rapid.IntRange(1, int(timing().Hold/step)).Draw(s.t, "runs")) * step
	s.streams[id] = s.now.Add(runs)
	s.maxConcurrent = max(s.maxConcurrent, len(s.streams))
	if ended := rapid.Bool().Draw(s.t, "ended"); ended {
		s.events = append(s.events, event{s.now.Add(runs + s.delay()), i, func() { h.slots.Release(s.now, id, true) }})
	} else {
		s.events = append(s.events, event{s.now.Add(step), i, func() { h.slots.Release(s.now, id, false) }})
	}
	return true
}

// deliverAsks passes an entry's questions to the others and returns their answers, both after a delay.
func (s *simulation) deliverAsks(i int, asks []ident.Cmd) {
	for _, cmd := range asks {
		ask := cmd.(limit.AskCmd)
		for j, h := range s.entries {
			if h.membership.Self().Incarnation != ask.To.Incarnation {
				continue
			}
			s.schedule(j, func() {
				settled := h.slots.Settled(s.now, ask.Upstream)
				s.schedule(i, func() { s.entries[i].slots.Update(s.now, settled) })
			})
		}
	}
}

// advance moves the time by one step, ends requests on the upstream and runs the events that are due.
func (s *simulation) advance() {
	s.now = s.now.Add(step)
	for id, end := range s.streams {
		if !s.now.Before(end) {
			delete(s.streams, id)
		}
	}
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.due.After(s.now) || e.entry >= 0 && s.now.Before(s.entries[e.entry].pausedUntil) {
			s.events = append(s.events, e)
			continue
		}
		e.run()
	}
}

func (s *simulation) randomAction(i int) {
	h := s.entries[i]
	if s.now.Before(h.pausedUntil) {
		return
	}
	switch rapid.IntRange(0, 13).Draw(s.t, "act") {
	case 0:
		h.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(s.t, "pause")) * step)
	case 1:
		s.removeMember(rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "removed"))
	case 2:
		s.deliver(i, roster.WantMsg{Member: rapid.Bool().Draw(s.t, "wanted")})
	case 3, 4, 5:
		s.readLog(i)
	case 6:
		s.deliver(i, roster.TickMsg{})
	default:
		for s.startRequest(i) {
		}
	}
}

// TestConcurrentRequestsStayWithinCapacity runs random joins, removals, pauses and delayed messages: the
// entries together must never run more requests on the cold upstream than its capacity.
func TestConcurrentRequestsStayWithinCapacity(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 4)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			for i := range s.entries {
				s.randomAction(i)
			}
			s.advance()
		}
		used += s.maxConcurrent
		if diff := cmp.Diff(true, s.maxConcurrent <= capacity); diff != "" {
			t.Fatalf("the upstream ran %d requests at once, its capacity is %d (-want +got):\n%s",
				s.maxConcurrent, capacity, diff)
		}
	})
	if used == 0 {
		t.Error("no slot was used in any run, so the check could not fail")
	}
}
