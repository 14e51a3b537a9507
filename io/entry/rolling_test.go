package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/caller"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/load"
)

// rollingPreset returns a load of short streams and a few that last longer than callers cache the advice.
func rollingPreset() load.Preset {
	return load.Preset{
		Name: "rolling",
		Streams: []load.Stream{
			{Model: "m", Class: ident.Interactive, Weight: 0.95, MaxTokens: 40, MinBlocks: 1, MaxBlocks: 2},
			{Model: "m", Class: ident.Interactive, Weight: 0.05, MaxTokens: 1500, MinBlocks: 1, MaxBlocks: 2},
		},
		Orgs: []ident.OrgID{bench.Org}, Service: "booking", ReturnShare: 0.6, CallShare: 0.2,
	}
}

// longAdviceHold lets callers cache the advice long enough that many calls would fail if an entry stopped too early.
func longAdviceHold(s *config.Settings) {
	s.AdviceHold = config.Duration(time.Second)
	s.ProbeInterval = config.Duration(time.Second)
}

const (
	// rateEnv is the environment variable that overrides defaultRate, in requests per second.
	rateEnv     = "CICADAVALVE_ROLLING_RATE"
	defaultRate = 12
)

func rollingRate(t *testing.T) float64 {
	t.Helper()
	text := os.Getenv(rateEnv)
	if text == "" {
		return defaultRate
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return rate
}

// runLoad runs a load concurrently with change, and checks that every answer was complete.
func runLoad(ctx context.Context, t *testing.T, p load.Preset, entries []*bench.Entry, change func() error) {
	t.Helper()
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.Caller)
	}
	runner := load.NewRunner(p, map[ident.OrgID]string{bench.Org: bench.Token}, seeds,
		load.WithSeed(5), load.WithRate(rollingRate(t)), load.WithDuration(8*time.Second))
	changed := make(chan error, 1)
	go func() { changed <- change() }()
	report := runner.Run(ctx)
	if err := <-changed; err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(report.Requests, report.Whole); diff != "" {
		t.Errorf("complete answers (-want +got):\n%s\ncodes %v", diff, report.Codes)
	}
	t.Logf("%d requests, %d complete answers", report.Requests, report.Whole)
}

// TestRollingReplacementInterruptsNoRequest replaces each of three entries under load: a new one joins, and then the old
// one stops.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	c, ctx := startCluster(t, 3, bench.WithSettings(longAdviceHold))
	old := c.Entries()
	waitAdvised(ctx, t, old...)
	runLoad(ctx, t, rollingPreset(), old, func() error { return replaceAll(ctx, c, old) })
}

// TestStopDuringLogOutageInterruptsNoRequest stops an entry while its leave record can't be appended to the log.
func TestStopDuringLogOutageInterruptsNoRequest(t *testing.T) {
	c, ctx := startCluster(t, 3, bench.WithSettings(longAdviceHold))
	old := c.Entries()
	waitAdvised(ctx, t, old...)
	p := rollingPreset()
	p.CallShare = 0
	runLoad(ctx, t, p, old, func() error {
		if err := bench.SetFaults(ctx, c.LogURL(), fakes.LogFaults{Outage: true}); err != nil {
			return err
		}
		return old[1].Stop()
	})
}

func replaceAll(ctx context.Context, c *bench.Cluster, old []*bench.Entry) (err error) {
	for i, e := range old {
		fresh, err := c.AddNamedEntry(ident.EntryID(fmt.Sprintf("new-%d", i)), "dunedin")
		if err != nil {
			return err
		}
		if !bench.Wait(ctx, func() bool { return advises(ctx, fresh, fresh) }) {
			return errors.New("the new entry did not join")
		}
		if err := e.Stop(); err != nil {
			return err
		}
	}
	return nil
}

// advises reports whether the advice of one entry lists all the wanted entries.
func advises(ctx context.Context, at *bench.Entry, wanted ...*bench.Entry) bool {
	advice, err := bench.FetchAdvice(ctx, at)
	if err != nil {
		return false
	}
	return !slices.ContainsFunc(wanted, func(e *bench.Entry) bool { return !listsEntry(advice, e) })
}

func listsEntry(advice caller.Advice, e *bench.Entry) bool {
	return slices.ContainsFunc(advice.Entries, func(a caller.Address) bool { return a.Address == e.Caller })
}

func waitAdvised(ctx context.Context, t *testing.T, entries ...*bench.Entry) {
	t.Helper()
	for _, e := range entries {
		if !bench.Wait(ctx, func() bool { return advises(ctx, e, entries...) }) {
			t.Fatalf("the advice of %s does not list every entry", e.ID)
		}
	}
}

// TestLeavingEntryServesWhileAdvised sends requests to a leaving entry for as long as callers may use the advice of
// another entry that lists it.
func TestLeavingEntryServesWhileAdvised(t *testing.T) {
	for name, outage := range map[string]bool{"log_up": false, "log_down": true} {
		t.Run(name, func(t *testing.T) {
			c, ctx := startCluster(t, 2, bench.WithSettings(longAdviceHold))
			other, leaving := c.Entries()[0], c.Entries()[1]
			waitAdvised(ctx, t, other, leaving)
			if err := bench.SetFaults(ctx, c.LogURL(), fakes.LogFaults{Outage: outage}); err != nil {
				t.Fatal(err)
			}
			stopped := make(chan error, 1)
			go func() { stopped <- leaving.Stop() }()
			served := useWhileAdvised(ctx, t, other, leaving)
			if err := <-stopped; err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(false, advises(ctx, other, leaving)); diff != "" {
				t.Errorf("advice lists an entry that stopped (-want +got):\n%s", diff)
			}
			t.Logf("%d requests served", served)
		})
	}
}

// callMargin is the time allowed for a call to reach the entry before the advice expires.
const callMargin = 300 * time.Millisecond

// useWhileAdvised sends requests to the leaving entry until the advice of the other entry that lists it has expired. It
// returns the number of requests served.
func useWhileAdvised(ctx context.Context, t *testing.T, other, leaving *bench.Entry) (served int) {
	t.Helper()
	defer http.DefaultClient.CloseIdleConnections()
	until := time.Now()
	for ok := true; ok; ok = time.Now().Before(until.Add(-callMargin)) {
		asked := time.Now()
		if advice, err := bench.FetchAdvice(ctx, other); err == nil && listsEntry(advice, leaving) {
			until = asked.Add(time.Duration(advice.HoldMs) * time.Millisecond)
		}
		http.DefaultClient.CloseIdleConnections()
		a, err := bench.Call(ctx, leaving, bench.Token, "/v1/completions", "", completionBody("x", 1))
		if err != nil || a.Status != http.StatusOK {
			t.Fatalf("after %d requests: status %d, %v", served, a.Status, err)
		}
		served++
	}
	return served
}
