package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/io/audit"
)

// diffReport is what the diff command prints.
type diffReport struct {
	From audit.Version `json:"from"`
	To   audit.Version `json:"to"`
	// Added and Removed are whole lines, including the comment that names who asked for the rule.
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

func newDiffCommand() *cobra.Command {
	var out output
	var logURL string
	cmd := &cobra.Command{
		Use:   "diff V1 V2 --log URL",
		Short: "Show which rules differ between two versions, and who asked for them",
		Long:  "Reads the versions from the platform's log, so no entry needs to run. The log retains them for a limited time.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			report, err := diffVersions(cmd.Context(), logURL, args[0], args[1])
			if err != nil {
				return err
			}
			return out.print(cmd.OutOrStdout(), report, report.text)
		},
	}
	out.register(cmd)
	cmd.Flags().StringVar(&logURL, "log", "", "the URL of the platform's log")
	_ = cmd.MarkFlagRequired("log")
	return cmd
}

func diffVersions(ctx context.Context, logURL, from, to string) (report diffReport, err error) {
	defer func() { err = errors.Wrap(err, "diff") }()
	versions, err := newReader(logURL, nil).Versions(ctx)
	if err != nil {
		return report, err
	}
	if report.From, err = findVersion(versions, from); err != nil {
		return report, err
	}
	if report.To, err = findVersion(versions, to); err != nil {
		return report, err
	}
	report.Added = missing(report.To.Text, report.From.Text)
	report.Removed = missing(report.From.Text, report.To.Text)
	return report, nil
}

func findVersion(versions []audit.Version, text string) (v audit.Version, err error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return v, errors.Newf("expected a version number, not %q", text)
	}
	for _, v := range versions {
		if v.Version == number {
			return v, nil
		}
	}
	return v, errors.Newf("the log does not hold version %d", number)
}

// missing returns the lines of text that other lacks, trimmed and without empty lines.
func missing(text, other string) (lines []string) {
	has := map[string]bool{}
	for line := range strings.Lines(other) {
		has[strings.TrimSpace(line)] = true
	}
	lines = []string{}
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !has[line] {
			lines = append(lines, line)
		}
	}
	return lines
}

func (r diffReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "version %d by %s -> version %d by %s\n", r.From.Version, r.From.Operator, r.To.Version, r.To.Operator)
	for _, line := range r.Removed {
		_, _ = fmt.Fprintf(w, "- %s\n", line)
	}
	for _, line := range r.Added {
		_, _ = fmt.Fprintf(w, "+ %s\n", line)
	}
}
