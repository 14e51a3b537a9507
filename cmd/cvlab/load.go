package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"cicadavalve/core/ident"
	"cicadavalve/io/fakes"
	"cicadavalve/io/load"
)

// loadCommand is one run of the load command.
type loadCommand struct {
	preset    string
	entries   []string
	tokens    string
	apps      []string
	stores    []string
	straight  []string
	seed      uint64
	rate      float64
	length    time.Duration
	returns   float64
	calls     float64
	comebacks int
	json      bool
	plot      string
}

// presetShare selects the preset's share.
const presetShare = -1

func newLoadCommand() *cobra.Command {
	l := &loadCommand{}
	cmd := &cobra.Command{
		Use:   "load --preset NAME --entries HOST:PORT,... --tokens FILE",
		Short: "Offer open-loop load and check every response",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return l.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&l.preset, "preset", "otakou", "one of "+strings.Join(load.PresetNames(), ", "))
	cmd.Flags().StringSliceVar(&l.entries, "entries", nil, "initial addresses, from which the entries are discovered")
	cmd.Flags().StringVar(&l.tokens, "tokens", "", "a YAML file that maps each token to its organisation")
	cmd.Flags().StringSliceVar(&l.apps, "apps", nil, "addresses of app engines, from which the runs of calls are read at the end")
	cmd.Flags().StringSliceVar(&l.stores, "stores", nil, "addresses of KV stores, from which the bytes over their links are read at the end")
	cmd.Flags().StringSliceVar(&l.straight, "straight", nil, "addresses of engines that receive half of the completions directly, not through entries")
	cmd.Flags().Uint64Var(&l.seed, "seed", 1, "the seed of the plan")
	cmd.Flags().Float64Var(&l.rate, "rate", 40, "requests a second")
	cmd.Flags().DurationVar(&l.length, "length", 10*time.Second, "for how long requests are offered")
	cmd.Flags().Float64Var(&l.returns, "returns", presetShare, "the share of completions whose prompt is resent later; -1 means the preset's")
	cmd.Flags().Float64Var(&l.calls, "calls", presetShare, "the share of requests that are once-only calls; -1 means the preset's")
	cmd.Flags().IntVar(&l.comebacks, "comebacks", 0, "how often a caller retries a completion that was refused as not run, each time after the delay that it was told")
	cmd.Flags().BoolVar(&l.json, "json", false, "print only JSON")
	cmd.Flags().StringVar(&l.plot, "plot", "", "a PNG file for a chart of the times to first token")
	_ = cmd.MarkFlagRequired("entries")
	_ = cmd.MarkFlagRequired("tokens")
	return cmd
}

func (l *loadCommand) run(ctx context.Context, w io.Writer) (err error) {
	preset, found := load.FindPreset(l.preset)
	if !found {
		return errors.Newf("--preset: expected one of %s", strings.Join(load.PresetNames(), ", "))
	}
	tokens, err := readTokens(l.tokens)
	if err != nil {
		return err
	}
	options := []load.Option{
		load.WithSeed(l.seed), load.WithRate(l.rate), load.WithDuration(l.length), load.WithDirectEngines(l.straight),
		load.WithMaxRetries(l.comebacks),
	}
	if l.returns >= 0 {
		options = append(options, load.WithReturnShare(l.returns))
	}
	if l.calls >= 0 {
		options = append(options, load.WithCallShare(l.calls))
	}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		options = append(options, load.WithProgress(os.Stderr))
	}
	report := load.NewRunner(preset, tokens, l.entries, options...).Run(ctx)
	if err := l.addStandInCounts(ctx, report); err != nil {
		return err
	}
	if l.plot != "" {
		if err := report.Plot(l.plot); err != nil {
			return err
		}
	}
	if err := l.print(w, report); err != nil {
		return err
	}
	return checkReport(report)
}

func readTokens(path string) (tokens map[ident.OrgID]string, err error) {
	defer func() { err = errors.Wrapf(err, "tokens %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var orgs map[string]ident.OrgID
	if err := yaml.Unmarshal(raw, &orgs); err != nil {
		return nil, err
	}
	tokens = map[ident.OrgID]string{}
	for token, org := range orgs {
		tokens[org] = token
	}
	return tokens, nil
}

// addStandInCounts adds the counts of the app engines and the KV stores to the report.
func (l *loadCommand) addStandInCounts(ctx context.Context, report *load.Report) (err error) {
	defer func() { err = errors.Wrap(err, "count at the stand-ins") }()
	runs := map[string]int{}
	for _, address := range l.apps {
		var one map[string]int
		if err := getJSON(ctx, address, "/runs", &one); err != nil {
			return err
		}
		for key, n := range one {
			// Entries prefix the caller's key with the organisation.
			_, callerKey, _ := strings.Cut(key, "/")
			runs[callerKey] += n
		}
	}
	for _, n := range runs {
		report.CallsRun++
		report.DuplicateRuns += n - 1
	}
	for _, key := range report.NotRunKeys() {
		report.FalseNotRun += runs[key]
	}
	for _, address := range l.stores {
		var s fakes.StoreStats
		if err := getJSON(ctx, address, "/stats", &s); err != nil {
			return err
		}
		report.LinkBytes += s.LinkBytes
	}
	return nil
}

func getJSON(ctx context.Context, address, path string, into any) (err error) {
	req, err := sling.New().Get("http://" + address + path).Request()
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (l *loadCommand) print(w io.Writer, r *load.Report) (err error) {
	if l.json {
		return json.NewEncoder(w).Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("preset", r.Preset)
	row("requests", r.Requests)
	row("whole", r.Whole)
	row("failed", r.Failed)
	row("refused, not run", r.RefusedNotRun)
	row("came back as told", r.Retries)
	row("refusals and faults by code", r.Codes)
	for _, c := range r.Classes {
		row("first token, "+string(c.Class), quantilesText(c.FirstToken))
		row("between tokens, "+string(c.Class), quantilesText(c.BetweenTokens))
	}
	if len(l.straight) > 0 {
		row("first token, through entries", fmt.Sprintf("p50 %.1f ms  p95 %.1f ms", r.TTFTP50Ms, r.TTFTP95Ms))
		row("first token, straight", fmt.Sprintf("p50 %.1f ms  p95 %.1f ms", r.DirectP50Ms, r.DirectP95Ms))
	}
	row("share recomputed", fmt.Sprintf("%.3f", r.RecomputedShare))
	row("bytes over store links", r.LinkBytes)
	row("calls sent / run / run twice", fmt.Sprintf("%d / %d / %d", r.CallsSent, r.CallsRun, r.DuplicateRuns))
	row("calls said not to have run that ran", r.FalseNotRun)
	return t.Flush()
}

func quantilesText(q load.Quantiles) string {
	return fmt.Sprintf("p50 %.1f ms  p95 %.1f ms  p99 %.1f ms  (%d)", q.P50Ms, q.P95Ms, q.P99Ms, q.Count)
}

// checkReport returns an error unless every answer was complete, no call ran twice, and no call ran that was reported to
// its caller as not run.
func checkReport(r *load.Report) error {
	if r.Whole != r.Requests || r.DuplicateRuns > 0 || r.FalseNotRun > 0 {
		return errors.Newf("%d of %d answers were whole, %d calls ran twice, %d ran though said not to have",
			r.Whole, r.Requests, r.DuplicateRuns, r.FalseNotRun)
	}
	return nil
}
