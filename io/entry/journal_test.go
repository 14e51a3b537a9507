package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/record"
	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/peer"
)

// TestStepsOverTheJournalsRateAreCounted gives the journal a byte a second.
func TestStepsOverTheJournalsRateAreCounted(t *testing.T) {
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
