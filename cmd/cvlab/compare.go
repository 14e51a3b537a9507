package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/io/abtest"
	"cicadavalve/io/load"
)

// compareCommand is one run of the compare command.
type compareCommand struct {
	preset   string
	scenario string
	plan     abtest.Plan
	fleet    string
	results  []string
	json     bool
	plot     string
}

func newCompareCommand() *cobra.Command {
	c := &compareCommand{}
	cmd := &cobra.Command{
		Use:   "compare --preset NAME --scenario NAME",
		Short: "Offer the same load to each routing policy",
		Long: `Offers the same load to each routing policy. With --fleet, the load goes to the running entries and engines of one policy
that the file lists; scripts/compare.sh starts them. Otherwise they all run in this process. --results prints earlier runs in one table.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	cmd.Flags().StringVar(&c.preset, "preset", "otakou", "one of "+strings.Join(load.PresetNames(), ", "))
	cmd.Flags().StringVar(&c.scenario, "scenario", string(abtest.Return), fmt.Sprintf("one of %v", abtest.Scenarios()))
	cmd.Flags().Uint64Var(&c.plan.Seed, "seed", 1, "the seed of the plan, the engines and the entries")
	cmd.Flags().Float64Var(&c.plan.Rate, "rate", 40, "requests a second; the scenario overload doubles it")
	cmd.Flags().DurationVar(&c.plan.Length, "length", 12*time.Second, "for how long requests are offered to each policy")
	cmd.Flags().StringSliceVar(&c.plan.Policies, "policies", abtest.Policies(), "the policies to run, in order")
	cmd.Flags().StringVar(&c.fleet, "fleet", "", "a YAML file with the addresses of one policy's processes")
	cmd.Flags().StringSliceVar(&c.results, "results", nil, "JSON files of earlier runs to print in one table, without running anything")
	cmd.Flags().BoolVar(&c.json, "json", false, "print only JSON")
	cmd.Flags().StringVar(&c.plot, "plot", "", "a PNG file for a chart of the times to first token")
	return cmd
}

func (c *compareCommand) run(ctx context.Context, w io.Writer) (err error) {
	result, err := c.result(ctx)
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := result.Plot(c.plot); err != nil {
			return err
		}
	}
	if c.json {
		return json.NewEncoder(w).Encode(result)
	}
	return printComparison(w, result)
}

// result runs the plan, or reads the results of earlier runs.
func (c *compareCommand) result(ctx context.Context) (r abtest.Result, err error) {
	if len(c.results) > 0 {
		return abtest.LoadResults(c.results)
	}
	preset, found := load.FindPreset(c.preset)
	if !found {
		return r, errors.Newf("--preset: expected one of %s", strings.Join(load.PresetNames(), ", "))
	}
	c.plan.Preset, c.plan.Scenario = preset, abtest.Scenario(c.scenario)
	if c.fleet == "" {
		return c.plan.Run(ctx)
	}
	fleet, err := abtest.LoadFleet(c.fleet)
	if err != nil {
		return r, err
	}
	return c.plan.RunFleet(ctx, fleet)
}

func processLayout(r abtest.Result) string {
	if r.InProcess {
		return "all in one process"
	}
	return "each a process"
}

func printComparison(w io.Writer, r abtest.Result) error {
	_, _ = fmt.Fprintf(w, "%s, %s, seed %d, %.0f requests a second, %d entries and %d engines, %s\n",
		r.Preset, r.Scenario, r.Seed, r.Rate, r.Entries, r.Engines, processLayout(r))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "policy\tfirst token p50\tp95\tp99 ms\tbetween tokens p95 ms\tgoodput/s\tin time/s\trecomputed\tlink bytes\t"+
		"most while cold (at the turn)\tdrained zone\tbad version\twhole\tother ends")
	for _, o := range r.Outcomes {
		_, _ = fmt.Fprintf(tw, "%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t%d of %d (%d)\t%d\t%d\t%d of %d\t%v\n", o.Policy,
			o.FirstToken.P50Ms, o.FirstToken.P95Ms, o.FirstToken.P99Ms, o.BetweenTokens.P95Ms,
			o.Goodput, o.GoodputInTime, o.RecomputedShare, o.LinkBytes, o.MaxWhileCold, o.MaxColdRequests, o.MaxWhenTurnedCold,
			o.StartedDrained, o.StartedBad, o.Whole, o.Requests, o.Codes)
	}
	return tw.Flush()
}
