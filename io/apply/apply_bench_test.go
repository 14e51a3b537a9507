package apply_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/io/apply"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// quantile returns the value at a share of the sorted durations, in milliseconds.
func quantile(sorted []time.Duration, share float64) float64 {
	return float64(sorted[int(share*float64(len(sorted)-1))].Microseconds()) / 1000
}

// BenchmarkInForce measures the time from a proposal until its version is in force on every entry.
func BenchmarkInForce(b *testing.B) {
	for _, entries := range []int{3, 7} {
		for _, delay := range []int{0, 300} {
			b.Run(fmt.Sprintf("entries=%d/log_delay_ms=%d", entries, delay), func(b *testing.B) { benchInForce(b, entries, delay) })
		}
	}
}

func benchInForce(b *testing.B, entries, delay int) {
	c, err := bench.Start(bench.WithRules(rulesText(0)))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	ctx := context.Background()
	for range entries {
		if _, err := c.AddEntry("dunedin"); err != nil {
			b.Fatal(err)
		}
	}
	for _, e := range c.Entries() {
		bench.Wait(ctx, func() bool {
			s, err := c.Status(ctx, e)
			return err == nil && s.Ready && len(s.Members) == entries
		})
	}
	if err := bench.SetFaults(ctx, c.LogURL(), fakes.LogFaults{DelayMs: delay}); err != nil {
		b.Fatal(err)
	}
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		r, err := apply.NewApplier(http.DefaultClient, c.Entries()[i%entries].Peer, "operator").Apply(ctx, rulesText(i+1))
		if err != nil || r.Verdict != ledger.Accepted || len(r.InForce) != entries {
			b.Fatalf("%+v: %v", r, err)
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(quantile(took, 0.5), "p50_ms")
	b.ReportMetric(quantile(took, 0.99), "p99_ms")
}
