package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/io/trace"
)

func newExplainCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "explain REQUEST_ID [FILE|DIRECTORY|-]...",
		Short: "Show the history of a request from collected logs",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			paths := args[1:]
			if len(paths) == 0 {
				paths = []string{"-"}
			}
			lines, skipped, err := trace.Read(paths, cmd.InOrStdin())
			if err != nil {
				return err
			}
			s := trace.Find(args[0], lines)
			s.Skipped = skipped
			if len(s.Lines) == 0 {
				return errors.Newf("no line of request %s among %d lines (%d others skipped): "+
					"its entry's log may be missing, or the line was left out under load (see log_lines_left_out)", args[0], len(lines), skipped)
			}
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			return printStory(cmd.OutOrStdout(), s)
		},
	}
	cmd.Flags().StringVar(&output, "output", "text", "text or json")
	return cmd
}

func printStory(w io.Writer, s trace.History) (err error) {
	section := func(title string, lines []trace.Line) {
		if err != nil || len(lines) == 0 {
			return
		}
		_, err = fmt.Fprintln(w, title)
		for _, l := range lines {
			if err == nil {
				_, err = fmt.Fprintln(w, "  "+lineText(l))
			}
		}
	}
	section("request "+s.Request, s.Lines)
	section("the same request in other attempts of its caller", s.Related)
	section("what its entries and upstreams did within 3 s", s.Context)
	return err
}

// durationFields lists the fields that hold durations in nanoseconds.
var durationFields = []string{"first", "whole", "expected", "after", "cold_left", "grace", "age", "evidence_age"}

func lineText(l trace.Line) string {
	fields := []string{l.Time.Format("15:04:05.000"), l.Entry, l.Event}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		value := l.Fields[name]
		if ns, ok := value.(float64); ok && slices.Contains(durationFields, name) {
			value = time.Duration(ns).Round(time.Millisecond)
		}
		fields = append(fields, fmt.Sprintf("%s=%v", name, value))
	}
	return strings.Join(fields, " ")
}
