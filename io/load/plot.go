package load

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cicadavalve/core/ident"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes the distribution of first-token times per class as a PNG file.
func (r *Report) Plot(path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	p := plot.New()
	p.Title.Text = "Time to first token, " + r.Preset
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests"
	p.Legend.Top = false
	for i, class := range ident.Classes() {
		points := r.curve(class)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(class), line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func (r *Report) curve(class ident.Class) (points plotter.XYs) {
	all := newHistogram()
	for k, h := range r.first {
		if k.class == class {
			all.Merge(h)
		}
	}
	if all.TotalCount() == 0 {
		return nil
	}
	for _, b := range all.CumulativeDistribution() {
		points = append(points, plotter.XY{X: float64(b.ValueAt) / 1000, Y: b.Quantile / 100})
	}
	return points
}
