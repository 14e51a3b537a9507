package main

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cicadavalve/io/meter"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 8 * vg.Millimeter
)

// plotLatency writes a bar chart of the p95 time to first token per entry, organisation and class.
func plotLatency(path string, answers []entryAnswer[[]meter.Summary]) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	p := plot.New()
	p.Title.Text = "Time to first token, p95"
	p.Y.Label.Text = "milliseconds"
	var values plotter.Values
	var names []string
	for _, a := range answers {
		for _, r := range a.Document {
			if r.Measure == meter.FirstToken {
				values = append(values, r.P95Ms)
				names = append(names, string(a.Entry)+"\n"+string(r.Organisation)+"\n"+string(r.Class))
			}
		}
	}
	if len(values) == 0 {
		return errors.New("no entry has served a completion yet")
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}
