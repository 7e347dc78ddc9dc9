package policy

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Draw plots the worth per window of the scenario of the first row into a PNG file, with a line for each policy.
func Draw(file string, rows []Row) error {
	if len(rows) == 0 {
		return trace.BadParameter("there are no rows to plot")
	}
	p := plot.New()
	p.Title.Text = rows[0].Scenario.Name
	p.X.Label.Text = "seconds from the start"
	p.Y.Label.Text = "worth of a request"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, r := range rows {
		if r.Scenario.Name != rows[0].Scenario.Name {
			continue
		}
		name := "all mechanisms"
		if r.Without != "" {
			name = "without " + r.Without
		}
		lines = append(lines, name, r.points())
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return trace.Wrap(err, "plotting %s", file)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, file), "writing %s", file)
}

// points returns the mean worth of each window over all seeds; windows without requests are omitted.
func (r Row) points() plotter.XYs {
	var out plotter.XYs
	for i := range r.Results[0].Windows {
		var all Counts
		for _, one := range r.Results {
			c := one.Windows[i]
			all.Requests, all.InTime, all.Late = all.Requests+c.Requests, all.InTime+c.InTime, all.Late+c.Late
		}
		if all.Requests > 0 {
			out = append(out, plotter.XY{X: float64(i) * windowTime.Seconds(), Y: all.Worth()})
		}
	}
	return out
}
