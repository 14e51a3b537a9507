package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/record"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
)

// loggedSteps returns the sequence numbers of an entry's journal steps in the log, without duplicates.
func loggedSteps(ctx context.Context, t *testing.T, c *bench.Cluster, e *bench.Entry) (seqs []int64) {
	t.Helper()
	logs := logsvc.NewClient(c.LogURL()+"/", http.DefaultClient)
	batch, err := logs.Read(ctx, record.StreamOf(e.ID), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range batch.Entries {
		var s record.Segment
		if err := json.Unmarshal(entry.Record.Body, &s); err != nil {
			t.Fatal(err)
		}
		for i := range int64(s.Count) {
			if len(seqs) == 0 || s.First+i > seqs[len(seqs)-1] {
				seqs = append(seqs, s.First+i)
			}
		}
	}
	return seqs
}

// TestLogOutageLeavesNoJournalGap interrupts the log and then loses the answers of some appends, which are retried.
func TestLogOutageLeavesNoJournalGap(t *testing.T) {
	c, ctx := startCluster(t, 1, bench.WithSettings(func(s *config.Settings) {
		s.JournalRate, s.JournalInterval, s.LogTimeout = 1<<20, config.Duration(20*time.Millisecond), config.Duration(100*time.Millisecond)
	}))
	e := c.Entries()[0]
	last := func() int64 {
		seqs := loggedSteps(ctx, t, c, e)
		if len(seqs) == 0 {
			return 0
		}
		return seqs[len(seqs)-1]
	}
	bench.Wait(ctx, func() bool { return last() > 0 })
	before := last()
	for _, f := range []fakes.LogFaults{{Outage: true}, {LoseAnswers: 0.5}, {}} {
		if err := bench.SetFaults(ctx, c.LogURL(), f); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !bench.Wait(ctx, func() bool { return last() > 2*before }) {
		t.Fatal("no further steps reached the log")
	}
	for i, seq := range loggedSteps(ctx, t, c, e) {
		if seq != int64(i+1) {
			t.Fatalf("the log has step %d after step %d", seq, i)
		}
	}
}

// TestPlannedStopFlushesJournal stops an entry long before its next journal segment is due. The steps up to the stop must
// be in the log.
func TestPlannedStopFlushesJournal(t *testing.T) {
	c, ctx := startCluster(t, 1, bench.WithSettings(func(s *config.Settings) {
		s.JournalRate, s.JournalInterval = 1<<20, config.Duration(time.Hour)
	}))
	e := c.Entries()[0]
	var counts record.Counts
	if err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "record", "", &counts); err != nil {
		t.Fatal(err)
	}
	if err := e.Stop(); err != nil {
		t.Fatal(err)
	}
	if seqs := loggedSteps(ctx, t, c, e); len(seqs) == 0 || seqs[0] != 1 || seqs[len(seqs)-1] <= counts.Steps {
		t.Errorf("the log has steps %v; the journal had %d steps before the stop", seqs, counts.Steps)
	}
}

// TestStepsOverJournalRateAreCounted limits the journal to one byte per second, so that steps are dropped.
func TestStepsOverJournalRateAreCounted(t *testing.T) {
	c, ctx := startCluster(t, 1, bench.WithSettings(func(s *config.Settings) {
		s.JournalRate, s.JournalInterval = 1, config.Duration(20*time.Millisecond)
	}))
	e := c.Entries()[0]
	var counts record.Counts
	dropped := bench.Wait(ctx, func() bool {
		err := peer.NewClient(http.DefaultClient, e.Peer).Show(ctx, "record", "", &counts)
		return err == nil && counts.Dropped > 0
	})
	if !dropped {
		t.Fatalf("no step was counted as dropped: %+v", counts)
	}
	bytes, steps := 0, int64(0)
	for _, typed := range counts.Types {
		bytes += int(typed.Bytes)
		steps += typed.Steps
	}
	if diff := cmp.Diff([]int{counts.MemoryBytes, int(counts.Steps)}, []int{bytes, int(steps)}); diff != "" {
		t.Errorf("bytes and steps by type (-in memory +by type):\n%s", diff)
	}
	if e.Meter().Snapshot().Counters["journal_dropped_steps"] == 0 {
		t.Error("the counter journal_dropped_steps is 0")
	}
}
