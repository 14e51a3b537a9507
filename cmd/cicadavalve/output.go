package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// output holds the --output flag: text or json.
type output struct {
	format string
}

func (o *output) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.format, "output", "text", "text or json")
	_ = cmd.RegisterFlagCompletionFunc("output",
		cobra.FixedCompletions([]cobra.Completion{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// print writes a document as JSON, or calls text with a writer that aligns tab-separated columns.
func (o *output) print(w io.Writer, document any, text func(w io.Writer)) (err error) {
	switch o.format {
	case "json":
		return json.NewEncoder(w).Encode(document)
	case "text":
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		text(table)
		return table.Flush()
	}
	return errors.Newf("--output: expected text or json, not %q", o.format)
}

// versionInfo is what the version command prints.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersionCommand() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			info := versionInfo{Version: "unknown"}
			if build, ok := debug.ReadBuildInfo(); ok {
				info.Version, info.Go = build.Main.Version, build.GoVersion
			}
			return out.print(cmd.OutOrStdout(), info, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "cicadavalve\t%s\t%s\n", info.Version, info.Go)
			})
		},
	}
	out.register(cmd)
	return cmd
}
