package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/node"
	"cicadavalve/core/once"
	"cicadavalve/core/poison"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

const tickRules = `
route model m class interactive  # asked by: test
serve model m version v1  # asked by: test
bears upstream engine-* cold 1  # asked by: test
`

// nodePair is two nodes that handle the same messages: one is ticked at every interval, the other
// only when its next tick is due.
type nodePair struct {
	everyTick, dueOnly *node.Node
	now                time.Time
	skipped            int
	// log holds the records that the nodes appended, by stream.
	log map[ledger.Stream][]ledger.Entry
	// requests numbers the drawn messages; request ids carry the number.
	requests int
}

func settings() node.Settings {
	return node.Settings{
		Entry: "entry-0", Incarnation: "boot", Zone: "zone-0", Seed: 1, Slots: limit.DefaultTiming(), PingInterval: time.Second,
		OnceLimits: once.Limits{LeaveGrace: time.Second, DepartureDelay: 5 * time.Second},
	}
}

func newNodePair(settings node.Settings) *nodePair {
	return &nodePair{
		everyTick: node.NewNode(settings), dueOnly: node.NewNode(settings), now: epoch,
		log: map[ledger.Stream][]ledger.Entry{},
	}
}

func (w *nodePair) update(t rapid.TB, msg ident.Msg) {
	want, got := w.everyTick.Update(w.now, msg), w.dueOnly.Update(w.now, msg)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("commands after %T at %s (-ticked always +ticked when due):\n%s", msg, w.now.Sub(epoch), diff)
	}
	for _, cmd := range want {
		w.append(cmd)
	}
}

func (w *nodePair) tick(t rapid.TB) {
	w.now = w.now.Add(node.MinTickInterval)
	if !w.dueOnly.NextTick().After(w.now) {
		w.update(t, sched.TickMsg{})
		return
	}
	w.skipped++
	if diff := cmp.Diff([]ident.Cmd(nil), w.everyTick.Update(w.now, sched.TickMsg{})); diff != "" {
		t.Fatalf("commands of a tick that was not due at %s (-want +got):\n%s", w.now.Sub(epoch), diff)
	}
}

func (w *nodePair) append(cmd ident.Cmd) {
	switch cmd := cmd.(type) {
	case ledger.AppendCmd:
		w.add(cmd.Stream, cmd.Record)
	case roster.AppendCmd:
		w.add(ledger.StreamRoster, cmd.Record)
	case once.AppendCmd:
		w.add(once.StreamOnce, cmd.Record)
	case poison.AppendCmd:
		w.add(ledger.StreamVerdict, cmd.Record)
	case roll.AppendCmd:
		w.add(ledger.StreamVerdict, cmd.Record)
	}
}

func (w *nodePair) add(stream ledger.Stream, rec ledger.Record) {
	w.log[stream] = append(w.log[stream], ledger.Entry{Offset: int64(len(w.log[stream])), Record: rec})
}

func (w *nodePair) read(t rapid.TB, stream ledger.Stream) {
	next := int64(len(w.log[stream]))
	w.update(t, ledger.BatchMsg{Stream: stream, Entries: slices.Clone(w.log[stream]), Next: next, ReadStart: w.now})
}

func member(i int) roster.Member {
	return roster.Member{Entry: ident.EntryID(fmt.Sprintf("entry-%d", i)), Incarnation: "boot", Zone: "zone-0"}
}

// start sets up the nodes with their own identity, two other members, the rules and two engines.
func (w *nodePair) start(t rapid.TB) {
	rec, err := ledger.NewRecord("rules", ledger.KindConfig, "test", ledger.ConfigBody{Operator: "test", Text: tickRules})
	if err != nil {
		t.Fatal(err)
	}
	w.add(ledger.StreamConfig, rec)
	for i := 1; i <= 2; i++ {
		rec, err := ledger.NewRecord(fmt.Sprint("join-", i), roster.KindJoin, "test", roster.JoinBody{Member: member(i)})
		if err != nil {
			t.Fatal(err)
		}
		w.add(ledger.StreamRoster, rec)
	}
	w.update(t, roster.SelfMsg{Member: member(0)})
	w.update(t, sched.UpstreamsMsg{Upstreams: upstreams(2)})
	for _, s := range streams {
		w.read(t, s)
	}
	w.update(t, roster.WantMsg{Member: true})
}

var streams = []ledger.Stream{ledger.StreamConfig, ledger.StreamRoster, ledger.StreamVerdict, once.StreamOnce}

// drawMessage delivers a random message of the kinds that an entry receives.
func (w *nodePair) drawMessage(t *rapid.T) {
	w.requests++
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	request := ident.RequestID(fmt.Sprint("r", w.requests))
	earlier := ident.RequestID(fmt.Sprint("r", pick(w.requests)))
	engine := ident.UpstreamID(fmt.Sprint("engine-", pick(2)))
	switch pick(15) {
	case 0, 1, 2:
		w.read(t, streams[pick(len(streams))])
	case 3:
		w.update(t, ledger.ReadFailedMsg{Stream: streams[pick(len(streams))]})
	case 4:
		w.update(t, roster.HeardMsg{From: member(1 + pick(2))})
	case 5, 6:
		w.update(t, roster.PingFailedMsg{To: member(1 + pick(2))})
	case 7:
		body := ledger.ConfigBody{Base: int64(pick(3)), Operator: "test", Text: tickRules}
		w.update(t, ledger.ProposeMsg{Request: request, ID: fmt.Sprint("p", pick(4)), Body: body})
	case 8:
		key := once.Key{Org: "o", Key: fmt.Sprint("k", pick(3))}
		w.update(t, once.CallMsg{Request: request, Key: key, Attempt: string(request)})
	case 9:
		w.update(t, sched.ArriveMsg{Request: sched.Request{ID: request, Org: "o", Model: "m", Repeatable: true, Digest: "d"}})
	case 10:
		w.update(t, sched.GoneMsg{Request: earlier})
	case 11:
		w.update(t, sched.FailMsg{Request: earlier, Attempt: 1, Cause: sched.CauseBroken})
	case 12:
		boot := ident.BootID(fmt.Sprint("boot-", pick(2)))
		load := sched.Load{BootID: boot, Loaded: []sched.Loaded{{Model: "m", Version: "v1"}}}
		w.update(t, sched.LoadMsg{Upstream: engine, Load: load})
	case 13:
		w.update(t, sched.UnreachableMsg{Upstream: engine})
	case 14:
		w.update(t, once.PositionsMsg{Round: int64(1 + pick(4)), All: pick(2) == 0, Answered: pick(2) == 0, Epoch: 100})
	}
}

// TestTicksBeforeDueHaveNoEffect draws messages with idle times between them. A node that is ticked only when due
// must return the same commands at the same times as one that is ticked at every interval.
func TestTicksBeforeDueHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := settings()
		config.SnapshotRecords, config.SnapshotInterval = 3, 5*time.Second
		w := newNodePair(config)
		w.start(t)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			w.drawMessage(t)
			for range rapid.SampledFrom([]int{0, 0, 1, 3, 20, 100, 400}).Draw(t, "ticks") {
				w.tick(t)
			}
		}
	})
}

// TestIdleNodeIsTickedOncePerPing counts the ticks of an idle member over ten seconds, which must be those of its
// pings, one per second.
func TestIdleNodeIsTickedOncePerPing(t *testing.T) {
	w := newNodePair(settings())
	w.start(t)
	for range 2 {
		w.tick(t)
		w.read(t, ledger.StreamRoster)
	}
	w.update(t, once.PositionsMsg{Round: 1, All: true, Answered: true, Epoch: 100})
	w.skipped = 0
	const ticks = 200
	for range ticks {
		w.tick(t)
	}
	if diff := cmp.Diff(10, ticks-w.skipped); diff != "" {
		t.Fatalf("ticks that were due in ten seconds (-want +got):\n%s", diff)
	}
}
