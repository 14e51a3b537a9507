package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/record"
	"cicadavalve/core/replay"
	"cicadavalve/core/roll"
	"cicadavalve/core/sched"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
	"cicadavalve/io/peer"
)

// journalOf returns the journal that an entry holds in memory.
func journalOf(ctx context.Context, t *testing.T, e *bench.Entry) []record.Entry {
	t.Helper()
	var segment record.Segment
	if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "journal", "", &segment); err != nil {
		t.Fatal(err)
	}
	entries, err := segment.Entries()
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// recordedRun sends completions and calls to an entry, with faults of one engine, and returns the entry's journal.
func recordedRun(t *testing.T, requests int) []record.Entry {
	t.Helper()
	c, ctx := startCluster(t, 1)
	faults := fakes.EngineFaults{DropShare: 0.3, DuplicateShare: 0.1}
	if err := bench.SetFaults(ctx, c.Engines()[0].Address, faults); err != nil {
		t.Fatal(err)
	}
	e := c.Entries()[0]
	for i := range requests {
		if _, err := bench.Call(ctx, e, bench.Token, "/v1/completions", "", completionBody(fmt.Sprintf("p%d", i), 4)); err != nil {
			t.Fatal(err)
		}
		if _, err := bench.Call(ctx, e, bench.Token, "/v1/call/booking/x", fmt.Sprintf("k%d", i), "{}"); err != nil {
			t.Fatal(err)
		}
	}
	return journalOf(ctx, t, e)
}

func replayAll(t *testing.T, entries []record.Entry) replay.Report {
	t.Helper()
	r := replay.NewReplayer()
	for _, e := range entries {
		if err := r.Step(e); err != nil {
			t.Fatal(err)
		}
	}
	return r.Report()
}

func TestReplayFindsOnlyAlteredDecision(t *testing.T) {
	entries := recordedRun(t, 40)
	report := replayAll(t, entries)
	if diff := cmp.Diff([]replay.Difference(nil), report.Differences); diff != "" {
		t.Fatalf("differences of an unaltered journal (-want +got):\n%s", diff)
	}
	altered := alterDecision(t, entries)
	var got []int64
	for _, d := range replayAll(t, entries).Differences {
		got = append(got, d.Seq)
	}
	if diff := cmp.Diff([]int64{altered}, got); diff != "" {
		t.Errorf("differences after altering a decision (-want +got):\n%s", diff)
	}
}

// alterDecision changes the upstream of one recorded SendCmd and returns the number of its step.
func alterDecision(t *testing.T, entries []record.Entry) int64 {
	t.Helper()
	for i := len(entries) / 2; i < len(entries); i++ {
		for j, c := range entries[i].Cmds {
			var cmd sched.SendCmd
			if c.Type != "sched.SendCmd" || json.Unmarshal(c.Body, &cmd) != nil {
				continue
			}
			cmd.Upstream += "-flipped"
			entries[i].Cmds[j].Body, _ = json.Marshal(cmd)
			return entries[i].Seq
		}
	}
	t.Fatal("the journal has no SendCmd to alter")
	return 0
}

func TestReplayRejectsJournalGap(t *testing.T) {
	entries := recordedRun(t, 2)
	r := replay.NewReplayer()
	if err := r.Step(entries[0]); err != nil {
		t.Fatal(err)
	}
	if err := r.Step(entries[2]); err == nil {
		t.Error("a journal without its second step was replayed")
	}
}

// TestReplayOfCacheTransfers replays a run with repeated prompts whose context is exported to stores and imported.
func TestReplayOfCacheTransfers(t *testing.T) {
	c, ctx := startStoreCluster(t, slowPrefill, slowLinks)
	for range 2 {
		sendRound(ctx, t, c, []string{bench.Token}, "v1")
	}
	imports := 0
	for _, e := range c.Entries() {
		entries := journalOf(ctx, t, e)
		if diff := cmp.Diff([]replay.Difference(nil), replayAll(t, entries).Differences); diff != "" {
			t.Errorf("differences of %s (-want +got):\n%.4000s", e.ID, diff)
		}
		for _, step := range entries {
			for _, cmd := range step.Cmds {
				if cmd.Type == "cache.ImportCmd" {
					imports++
				}
			}
		}
	}
	if imports == 0 {
		t.Error("the journals have no ImportCmd")
	}
}

// TestReplayOfTakenBackVersion replays a run with a move whose new version fails and is taken back.
func TestReplayOfTakenBackVersion(t *testing.T) {
	c, ctx, _ := startMove(t, 2*time.Minute)
	l := startLoad(ctx, t, c)
	started := bench.Wait(ctx, func() bool { return startedOn(c, "v2") > 5 })
	setEngineFaults(ctx, t, c, fakes.EngineFaults{BadVersion: "v2", BadFail: 0.5})
	stopped := bench.Wait(ctx, onEveryEntry(ctx, c, func(s roll.Status) bool { return s.Stopped }))
	l.stop()
	if !started || !stopped {
		t.Fatalf("the move started: %t, was stopped: %t", started, stopped)
	}
	for _, e := range c.Entries() {
		if diff := cmp.Diff([]replay.Difference(nil), replayAll(t, journalOf(ctx, t, e)).Differences); diff != "" {
			t.Errorf("differences of %s (-want +got):\n%.4000s", e.ID, diff)
		}
	}
}
