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

// Plot writes the cumulative distribution of the time to first token, per class, as a PNG file.
func (r *Report) Plot(path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	p := plot.New()
	p.Title.Text = "Time to first token, " + r.Preset
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests"
	p.Legend.Top = false
	for i, class := range ident.Classes() {
		points := r.distribution(class)
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

// distribution returns the cumulative distribution of a class, in milliseconds; nil if it has no requests.
func (r *Report) distribution(class ident.Class) (points plotter.XYs) {
	all := newHistogram()
	for k, h := range r.firstToken {
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
