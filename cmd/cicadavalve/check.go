package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/core/rules"
)

// checkReport is what the check command prints.
type checkReport struct {
	File   string        `json:"file"`
	Rules  int           `json:"rules"`
	Faults []rules.Fault `json:"faults"`
}

func newCheckCommand() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a rules file and report every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			_, report, err := readRules(args[0])
			if err != nil {
				return err
			}
			if err := out.print(cmd.OutOrStdout(), report, report.text); err != nil {
				return err
			}
			return report.err()
		},
	}
	out.register(cmd)
	return cmd
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
}
