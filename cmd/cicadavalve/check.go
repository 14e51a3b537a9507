package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/core/rules"
	"cicadavalve/core/sched"
)

// checkReport is what the check command prints.
type checkReport struct {
	File   string        `json:"file"`
	Rules  int           `json:"rules"`
	Faults []rules.Fault `json:"faults"`
	// Outlooks is the capacity that the file would leave for each model and service; absent without --entry.
	Outlooks []sched.Outlook `json:"outlooks,omitempty"`
}

// checkCommand is one run of the check command.
type checkCommand struct {
	out   output
	entry string
	keys  keyFlags
}

func newCheckCommand() *cobra.Command {
	c := &checkCommand{}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a rules file and report every fault",
		Long: "Reports every fault of a rules file. With --entry it also shows the capacity that the file would leave for " +
			"each model and service under the load that the entry currently sees.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	c.out.register(cmd)
	c.keys.register(cmd)
	cmd.Flags().StringVar(&c.entry, "entry", "", "the peer address of any entry, to query for the load")
	return cmd
}

func (c *checkCommand) run(ctx context.Context, w io.Writer, path string) (err error) {
	text, report, err := readRules(path)
	if err != nil {
		return err
	}
	if c.entry != "" && len(report.Faults) == 0 {
		if report.Outlooks, err = c.outlooks(ctx, text); err != nil {
			return err
		}
	}
	if err := c.out.print(w, report, report.text); err != nil {
		return err
	}
	return report.err()
}

func (c *checkCommand) outlooks(ctx context.Context, text string) (o []sched.Outlook, err error) {
	client, err := c.keys.client()
	if err != nil {
		return nil, err
	}
	return fetchOutlooks(ctx, client, c.entry, text)
}

func readRules(path string) (text string, report checkReport, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", report, err
	}
	set, faults := rules.Parse(string(raw))
	report = checkReport{File: path, Faults: faults}
	if set != nil {
		report.Rules = len(set.Rules())
	}
	return string(raw), report, nil
}

func (r checkReport) err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	return errors.Newf("%s: %d faults", r.File, len(r.Faults))
}

func (r checkReport) text(w io.Writer) {
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(w, "%s:%d:%d: %q: expected %s\n", r.File, f.Line, f.Column, f.Word, f.Expected)
	}
	if len(r.Faults) == 0 {
		_, _ = fmt.Fprintf(w, "%s: %d rules, no fault\n", r.File, r.Rules)
	}
	printOutlooks(w, r.Outlooks)
}
