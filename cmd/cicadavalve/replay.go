package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/core/ident"
	"cicadavalve/core/record"
	"cicadavalve/core/replay"
	"cicadavalve/core/rules"
	"cicadavalve/io/peer"
)

// replayCommand is one run of the replay command.
type replayCommand struct {
	out      output
	entry    string
	logURL   string
	name     string
	from, to string
	rules    string
	keys     keyFlags
	client   *http.Client
}

// replayReport is what the replay command prints for one incarnation.
type replayReport struct {
	replay.Report
	// Incomplete is the reason why the steps after the first Steps could not be replayed; empty if all were.
	Incomplete string `json:"incomplete,omitempty"`
	ElapsedMs  int64  `json:"elapsed_ms"`
}

func newReplayCommand() *cobra.Command {
	r := &replayCommand{}
	cmd := &cobra.Command{
		Use:   "replay --entry HOST:PORT | --log URL --name ENTRY",
		Short: "Replay recorded decisions and report every difference",
		Long: "Replays an entry's journal through the same deciders. The journal comes from the entry itself or, with --log,\n" +
			"from the platform's log, which also holds it after the entry has ended. Exits with status 1 on any difference.\n" +
			"With --rules it replays under another rules file and prints the differences, which are then not an error.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if r.client, err = r.keys.client(); err != nil {
				return err
			}
			return r.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	r.out.register(cmd)
	r.keys.register(cmd)
	cmd.Flags().StringVar(&r.entry, "entry", "", "the peer address of the entry")
	cmd.Flags().StringVar(&r.logURL, "log", "", "the URL of the platform's log")
	cmd.Flags().StringVar(&r.name, "name", "", "with --log: the entry's name")
	cmd.Flags().StringVar(&r.from, "from", "", "compare steps from this time on, such as 2026-12-05T18:00:00Z")
	cmd.Flags().StringVar(&r.to, "to", "", "compare steps up to this time")
	cmd.Flags().StringVar(&r.rules, "rules", "", "a rules file to use instead of the recorded rules")
	cmd.MarkFlagsOneRequired("entry", "log")
	cmd.MarkFlagsMutuallyExclusive("entry", "log")
	cmd.MarkFlagsRequiredTogether("log", "name")
	return cmd
}

func (r *replayCommand) run(ctx context.Context, w io.Writer) (err error) {
	options, err := r.options()
	if err != nil {
		return err
	}
	segments, err := r.segments(ctx)
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		return errors.New("no journal of this entry found")
	}
	reports, err := replayAll(segments, options)
	if err != nil {
		return err
	}
	if err := r.out.print(w, reports, func(w io.Writer) { printReports(w, reports) }); err != nil {
		return err
	}
	return r.checkReports(reports)
}

func (r *replayCommand) options() (options []replay.Option, err error) {
	from, err := parseTime("--from", r.from)
	if err != nil {
		return nil, err
	}
	to, err := parseTime("--to", r.to)
	if err != nil {
		return nil, err
	}
	options = append(options, replay.WithSpan(from, to))
	if r.rules == "" {
		return options, nil
	}
	text, err := os.ReadFile(r.rules)
	if err != nil {
		return nil, err
	}
	if _, faults := rules.Parse(string(text)); len(faults) > 0 {
		return nil, errors.Wrap(faults[0], r.rules)
	}
	return append(options, replay.WithRules(string(text))), nil
}

func parseTime(flag, text string) (t time.Time, err error) {
	if text == "" {
		return t, nil
	}
	t, err = time.Parse(time.RFC3339Nano, text)
	return t, errors.Wrapf(err, "%s", flag)
}

// segments reads the journal from the entry, as one segment, or from the log.
func (r *replayCommand) segments(ctx context.Context) (segments []record.Segment, err error) {
	if r.entry != "" {
		var s record.Segment
		err := peer.NewClient(r.client, r.entry).Show(ctx, "journal", "", &s)
		return []record.Segment{s}, err
	}
	return newReader(r.logURL, r.client).Segments(ctx, ident.EntryID(r.name))
}

// replayAll replays the segments of each incarnation, which may be interleaved in the log. It returns a report per
// incarnation, in order of first appearance.
func replayAll(segments []record.Segment, options []replay.Option) (reports []replayReport, err error) {
	var order []ident.BootID
	byIncarnation := map[ident.BootID][]record.Segment{}
	for _, s := range segments {
		if _, seen := byIncarnation[s.Incarnation]; !seen {
			order = append(order, s.Incarnation)
		}
		byIncarnation[s.Incarnation] = append(byIncarnation[s.Incarnation], s)
	}
	for _, incarnation := range order {
		report, err := replayOne(byIncarnation[incarnation], options)
		if err != nil {
			return nil, err
		}
		report.Incarnation = incarnation
		reports = append(reports, report)
	}
	return reports, nil
}

// replayOne replays one incarnation up to the first step that is missing from the journal; [replayReport.Incomplete]
// then names it.
func replayOne(segments []record.Segment, options []replay.Option) (report replayReport, err error) {
	start := time.Now()
	run := replay.NewReplayer(options...)
	for _, s := range segments {
		entries, err := s.Entries()
		if err != nil {
			return report, err
		}
		if report.Incomplete = replaySteps(run, entries); report.Incomplete != "" {
			break
		}
	}
	report.Report = run.Report()
	report.ElapsedMs = time.Since(start).Milliseconds()
	return report, nil
}

func replaySteps(run *replay.Replayer, entries []record.Entry) (incomplete string) {
	for _, e := range entries {
		if err := run.Step(e); err != nil {
			return err.Error()
		}
	}
	return ""
}

func (r *replayCommand) checkReports(reports []replayReport) error {
	differences := 0
	for _, report := range reports {
		differences += len(report.Differences)
		if report.Incomplete != "" {
			return errors.Newf("incarnation %s: %s", report.Incarnation, report.Incomplete)
		}
	}
	if differences > 0 && r.rules == "" {
		return errors.Newf("%d steps differ", differences)
	}
	return nil
}

func printReports(w io.Writer, reports []replayReport) {
	for _, r := range reports {
		_, _ = fmt.Fprintf(w, "incarnation %s: %d steps run again, %d compared, %d differ, %d ms\n",
			r.Incarnation, r.Steps, r.Compared, len(r.Differences), r.ElapsedMs)
		for _, d := range r.Differences {
			_, _ = fmt.Fprintf(w, "step %d at %s: %s %s\n", d.Seq, d.At.Format(time.RFC3339Nano), d.Msg.Type, d.Msg.Body)
			printCommands(w, "recorded", d.Recorded)
			printCommands(w, "replayed", d.Replayed)
		}
	}
}

func printCommands(w io.Writer, label string, cmds []record.Envelope) {
	for _, c := range cmds {
		_, _ = fmt.Fprintf(w, "  %s: %s %s\n", label, c.Type, c.Body)
	}
}
