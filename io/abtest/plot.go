package abtest

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14
)

// Plot writes a bar chart of each policy's interactive time to first token as a PNG file.
func (r Result) Plot(path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	p := plot.New()
	p.Title.Text = "Interactive time to first token, " + r.Preset + ", " + string(r.Scenario)
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top = true
	var names []string
	times := make([]plotter.Values, 3)
	for _, o := range r.Outcomes {
		names = append(names, o.Policy)
		for i, ms := range []float64{o.FirstToken.P50Ms, o.FirstToken.P95Ms, o.FirstToken.P99Ms} {
			times[i] = append(times[i], ms)
		}
	}
	for i, label := range []string{"p50", "p95", "p99"} {
		bars, err := plotter.NewBarChart(times[i], vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(label, bars)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}
