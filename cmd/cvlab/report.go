package main

import (
	"embed"
	"encoding/base64"
	"encoding/json"
	"html/template"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cicadavalve/io/load"
)

//go:embed report.html
var reportFiles embed.FS

// reportRun is one run in the report.
type reportRun struct {
	*load.Report
	// Plot is a PNG image as a data URL; empty without --plots.
	Plot template.URL
}

func newReportCommand() *cobra.Command {
	var out string
	var plots []string
	cmd := &cobra.Command{
		Use:   "report RUN.json... --out FILE.html",
		Short: "Write a self-contained HTML page about runs of the load command",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return writeReport(out, args, plots)
		},
	}
	cmd.Flags().StringVar(&out, "out", "report.html", "the page to write")
	cmd.Flags().StringSliceVar(&plots, "plots", nil, "PNG files, one for each run in order")
	return cmd
}

func writeReport(out string, runs, plots []string) (err error) {
	defer func() { err = errors.Wrap(err, "report") }()
	if len(plots) > 0 && len(plots) != len(runs) {
		return errors.Newf("--plots: expected one for each of the %d runs", len(runs))
	}
	page, err := template.ParseFS(reportFiles, "report.html")
	if err != nil {
		return err
	}
	var all []reportRun
	for i, path := range runs {
		run, err := readRun(path)
		if err != nil {
			return err
		}
		if len(plots) > 0 {
			if run.Plot, err = dataURL(plots[i]); err != nil {
				return err
			}
		}
		all = append(all, run)
	}
	file, err := os.Create(out)
	if err != nil {
		return err
	}
	return errors.CombineErrors(page.Execute(file, all), file.Close())
}

func readRun(path string) (run reportRun, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return run, err
	}
	run.Report = &load.Report{}
	err = json.Unmarshal(raw, run.Report)
	return run, errors.Wrap(err, path)
}

func dataURL(path string) (url template.URL, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(raw)), nil
}
