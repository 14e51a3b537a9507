package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roll"
	applier "cicadavalve/io/apply"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// TestVersionFailingOneClassIsTakenBack sends requests of two classes; the new version fails only the deferred ones.
func TestVersionFailingOneClassIsTakenBack(t *testing.T) {
	c, ctx, _ := startMove(t, 2*time.Minute)
	l := startLoad(ctx, t, c, ident.Interactive, ident.Deferred)
	if !bench.Wait(ctx, func() bool { return startedOn(c, "v2") > 5 }) {
		t.Fatal("the new version got no requests")
	}
	setEngineFaults(ctx, t, c, fakes.EngineFaults{BadVersion: "v2", BadFail: 0.8, BadPriority: ident.Deferred.Rank()})
	if !bench.Wait(ctx, onEveryEntry(ctx, c, func(s roll.Status) bool { return s.Stopped })) {
		t.Fatalf("an entry did not stop the move: %+v", moveStatus(ctx, c.Entries()[0]))
	}
	l.stop()
	reason := moveStatus(ctx, c.Entries()[0]).Reason
	if reason == nil {
		t.Fatal("the take-back has no reason")
	}
	before := startedOn(c, "v2")
	after := startLoad(ctx, t, c, ident.Interactive, ident.Deferred)
	bench.Wait(ctx, func() bool { return after.complete.Load() > 300 })
	after.stop()
	type result struct {
		Class          ident.Class
		Indicator      string
		New            int
		Wrong, Refused int64
	}
	got := result{
		reason.Cell.Class, reason.Indicator, startedOn(c, "v2") - before,
		l.wrong.Load() + after.wrong.Load(), after.refused.Load(),
	}
	if diff := cmp.Diff(result{Class: ident.Deferred, Indicator: roll.Failed.String()}, got); diff != "" {
		t.Errorf("take-back (-want +got):\n%s", diff)
	}
}

// moveOrder is one operator's order to start a move.
type moveOrder struct {
	ctx         context.Context
	entry       *bench.Entry
	version     ident.Version
	text        string
	baseVersion int64
	verdict     ledger.Verdict
	err         error
}

func (o *moveOrder) run() {
	a := applier.NewApplier(http.DefaultClient, o.entry.Peer, "operator of "+string(o.version),
		applier.WithBase(o.baseVersion))
	report, err := a.Apply(o.ctx, o.text)
	o.verdict, o.err = report.Verdict, err
}

// TestOnlyOneOfConcurrentMovesIsAccepted applies moves to different versions concurrently. Exactly one must come into
// force, the same on every entry, and no request may run on the other versions.
func TestOnlyOneOfConcurrentMovesIsAccepted(t *testing.T) {
	c, ctx := startCluster(t, 3)
	l := startLoad(ctx, t, c)
	defer l.stop()
	status, err := c.Status(ctx, c.Entries()[0])
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	var orders []*moveOrder
	var running sync.WaitGroup
	for i, v := range []ident.Version{"v2", "v3", "v4", "v5", "v6", "v7"} {
		rule := strings.Join([]string{"move model m from v1 to", string(v), "by", deadline, "share 5%  # asked by: test\n"}, " ")
		o := &moveOrder{ctx: ctx, entry: c.Entries()[i%3], version: v, text: testRules + rule, baseVersion: status.Version}
		orders = append(orders, o)
		running.Go(o.run)
	}
	running.Wait()
	winner := ident.Version("")
	accepted := 0
	for _, o := range orders {
		if o.err != nil {
			t.Fatal(o.err)
		}
		if o.verdict == ledger.Accepted {
			accepted++
			winner = o.version
		}
	}
	if diff := cmp.Diff(1, accepted); diff != "" {
		t.Fatalf("accepted orders (-want +got):\n%s", diff)
	}
	moved := onEveryEntry(ctx, c, func(s roll.Status) bool { return s.Move.To == winner })
	if !bench.Wait(ctx, func() bool { return moved() && startedOn(c, winner) > 5 }) {
		t.Fatalf("the move to %s did not start on every entry: %+v", winner, moveStatus(ctx, c.Entries()[0]))
	}
	started := map[ident.Version]int{}
	for _, o := range orders {
		started[o.version] = min(1, startedOn(c, o.version))
	}
	want := map[ident.Version]int{"v2": 0, "v3": 0, "v4": 0, "v5": 0, "v6": 0, "v7": 0}
	want[winner] = 1
	if diff := cmp.Diff(want, started); diff != "" {
		t.Errorf("versions that got requests (-want +got):\n%s", diff)
	}
}
