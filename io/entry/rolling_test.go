package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/load"
)

// rollingPreset has streams that take some hundred milliseconds, so that some are always in flight.
func rollingPreset() load.Preset {
	return load.Preset{
		Name:    "rolling",
		Streams: []load.Stream{{Model: "m", Class: ident.Interactive, Weight: 1, MaxTokens: 150, LeastBlocks: 1, MostBlocks: 2}},
		Orgs:    []ident.OrgID{bench.Org}, Service: "booking", ReturnShare: 0.6, CallShare: 0.2,
	}
}

// TestRollingReplacementCutsNoRequest replaces each of three entries under load: a new one joins, then the old one stops.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	c, ctx := startCluster(t, 3)
	old := c.Entries()
	var seeds []string
	for _, e := range old {
		seeds = append(seeds, e.Caller)
	}
	runner := load.NewRunner(rollingPreset(), map[ident.OrgID]string{bench.Org: bench.Token}, seeds,
		load.WithSeed(5), load.WithRate(60), load.WithLength(8*time.Second))
	replaced := make(chan error, 1)
	go func() { replaced <- replaceAll(c, old) }()
	report := runner.Run(ctx)
	if err := <-replaced; err != nil {
		t.Fatal(err)
	}
	type outcome struct{ Failed, RefusedNotRun, CallsUnknown int }
	got := outcome{report.Failed, report.RefusedNotRun, report.CallsUnknown}
	if diff := cmp.Diff(outcome{}, got); diff != "" {
		t.Errorf("of %d requests (-want +got):\n%s\ncodes %v", report.Requests, diff, report.Codes)
	}
	if diff := cmp.Diff(report.Requests, report.Whole); diff != "" {
		t.Errorf("whole answers (-want +got):\n%s", diff)
	}
	t.Logf("%d requests, %d whole", report.Requests, report.Whole)
}

func replaceAll(c *bench.Cluster, old []*bench.Entry) (err error) {
	for i, e := range old {
		if _, err := c.AddNamedEntry(ident.EntryID(fmt.Sprintf("new-%d", i)), "dunedin"); err != nil {
			return err
		}
		if err := e.Stop(); err != nil {
			return err
		}
	}
	return nil
}
