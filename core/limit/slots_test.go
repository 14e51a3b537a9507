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
	target = ident.UpstreamID("engine-0")
	bears  = 3
	step   = 20 * time.Millisecond
)

func timing() limit.Timing {
	return limit.Timing{
		Lease: 160 * time.Millisecond, Margin: 40 * time.Millisecond, Hold: 400 * time.Millisecond, Cold: time.Hour,
	}
}

// holder is one simulated entry.
type holder struct {
	members *roster.Membership
	slots   *limit.Slots
	// paused ends the time in which the entry handles nothing.
	paused time.Time
}

// event happens at a time; a paused entry handles it once it goes on.
type event struct {
	at time.Time
	to int
	do func()
}

// world is a simulated log, upstream and network before several entries.
type world struct {
	t       *rapid.T
	now     time.Time
	log     []ledger.Entry
	entries []*holder
	events  []event
	// streams holds when each request ends on the upstream.
	streams map[ident.RequestID]time.Time
	begun   int
	most    int
}

func newWorld(t *rapid.T, entries int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), streams: map[ident.RequestID]time.Time{}}
	for i := range entries {
		h := &holder{members: roster.NewMembership(roster.WithLease(timing().Lease)), slots: limit.NewSlots(timing())}
		w.entries = append(w.entries, h)
		id := fmt.Sprintf("entry-%d", i)
		w.tell(i, roster.SelfMsg{Member: roster.Member{Entry: ident.EntryID(id), Incarnation: ident.BootID(id + "-boot")}})
		w.tell(i, roster.WantMsg{Member: true})
	}
	return w
}

func (w *world) delay() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 0, 1, 4, 12}).Draw(w.t, "delay")) * step
}

func (w *world) later(to int, do func()) {
	w.events = append(w.events, event{w.now.Add(w.delay()), to, do})
}

// tell hands a message to an entry's membership and what follows to its slots.
func (w *world) tell(i int, msg ident.Msg) {
	h := w.entries[i]
	for _, cmd := range h.members.Update(w.now, msg) {
		switch cmd := cmd.(type) {
		case roster.ChangedCmd:
			changed := limit.MembersMsg{Epoch: cmd.Epoch}
			for _, m := range cmd.Members {
				changed.Holders = append(changed.Holders, limit.Holder{Entry: m.Entry, Incarnation: m.Incarnation})
			}
			h.slots.Update(w.now, changed)
		case roster.LeaseCmd:
			self := limit.Holder{Entry: cmd.Member.Entry, Incarnation: cmd.Member.Incarnation}
			h.slots.Update(w.now, limit.LeaseMsg{Holder: self, Until: cmd.Until})
		case roster.AppendCmd:
			w.events = append(w.events, event{w.now.Add(w.delay()), -1, func() { w.append(cmd.Record) }})
		}
	}
}

func (w *world) append(rec ledger.Record) {
	w.log = append(w.log, ledger.Entry{Offset: int64(len(w.log)), Record: rec})
}

// read takes what the log has now; the entry folds it later.
func (w *world) read(i int) {
	from := w.entries[i].members.Roster().Next()
	batch := ledger.BatchMsg{
		Stream: ledger.StreamRoster, Entries: w.log[from:], Next: int64(len(w.log)), Asked: w.now,
	}
	w.later(i, func() { w.tell(i, batch) })
}

// remove appends a removal of a member in the epoch that the log is in.
func (w *world) remove(i int) {
	all := roster.NewRoster()
	all.Update(w.now, ledger.BatchMsg{Stream: ledger.StreamRoster, Entries: w.log})
	m, known := all.Member(w.entries[i].members.Self().Entry)
	if !known {
		return
	}
	raw, _ := json.Marshal(roster.RemoveBody{Entry: m.Entry, Incarnation: m.Incarnation, Epoch: all.Epoch()})
	w.append(ledger.Record{Kind: roster.KindRemove, Body: raw})
}

// begin starts a request where the entry has a slot, and reports whether it had one.
func (w *world) begin(i int) bool {
	h := w.entries[i]
	w.begun++
	id := ident.RequestID(fmt.Sprintf("r%d", w.begun))
	got := h.slots.Acquire(w.now, target, bears, id)
	w.carry(i, h.slots.Asks())
	if !got {
		return false
	}
	runs := time.Duration(rapid.IntRange(1, int(timing().Hold/step)).Draw(w.t, "runs")) * step
	w.streams[id] = w.now.Add(runs)
	w.most = max(w.most, len(w.streams))
	if ended := rapid.Bool().Draw(w.t, "ended"); ended {
		w.events = append(w.events, event{w.now.Add(runs + w.delay()), i, func() { h.slots.Release(w.now, id, true) }})
	} else {
		w.events = append(w.events, event{w.now.Add(step), i, func() { h.slots.Release(w.now, id, false) }})
	}
	return true
}

// carry takes an entry's questions to the others and their answers back, each late.
func (w *world) carry(i int, asks []ident.Cmd) {
	for _, cmd := range asks {
		ask := cmd.(limit.AskCmd)
		for j, h := range w.entries {
			if h.members.Self().Incarnation != ask.To.Incarnation {
				continue
			}
			w.later(j, func() {
				settled := h.slots.Settled(w.now, ask.Upstream)
				w.later(i, func() { w.entries[i].slots.Update(w.now, settled) })
			})
		}
	}
}

// advance lets one step of time pass.
func (w *world) advance() {
	w.now = w.now.Add(step)
	for id, end := range w.streams {
		if !w.now.Before(end) {
			delete(w.streams, id)
		}
	}
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) || e.to >= 0 && w.now.Before(w.entries[e.to].paused) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
}

func (w *world) act(i int) {
	h := w.entries[i]
	if w.now.Before(h.paused) {
		return
	}
	switch rapid.IntRange(0, 13).Draw(w.t, "act") {
	case 0:
		h.paused = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "pause")) * step)
	case 1:
		w.remove(rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "removed"))
	case 2:
		w.tell(i, roster.WantMsg{Member: rapid.Bool().Draw(w.t, "wanted")})
	case 3, 4, 5:
		w.read(i)
	case 6:
		w.tell(i, roster.TickMsg{})
	default:
		for w.begin(i) {
		}
	}
}

// TestSlotsNeverPassWhatTheUpstreamBears checks random joins, removals, pauses and late messages.
func TestSlotsNeverPassWhatTheUpstreamBears(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			for i := range w.entries {
				w.act(i)
			}
			w.advance()
		}
		used += w.most
		if diff := cmp.Diff(true, w.most <= bears); diff != "" {
			t.Fatalf("the upstream ran %d requests and bears %d (-want +got):\n%s", w.most, bears, diff)
		}
	})
	if used == 0 {
		t.Error("no slot was ever used, so that the check could not fail")
	}
}
