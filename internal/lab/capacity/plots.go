package capacity

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// drawing is one plot: a series, its line and the size to design for.
type drawing struct {
	file, series string
	until        float64
}

func drawings() []drawing {
	return []drawing{
		{"capacity-view.png", "view and rows in a balancer's memory", fleetServices},
	}
}

func drawPlots(dir string, s Samples) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.Wrap(err)
	}
	for _, d := range drawings() {
		if err := d.draw(dir, s); err != nil {
			return trace.Wrap(err, "draw %s", d.file)
		}
	}
	return nil
}

func (d drawing) draw(dir string, s Samples) error {
	one, ok := s.Series(d.series)
	if !ok {
		return errMissing(d.series)
	}
	p := plot.New()
	p.Title.Text = one.Name
	p.X.Label.Text = one.Per + "s"
	p.Y.Label.Text = one.Unit
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, 0, len(one.Points))
	for _, v := range one.Points {
		points = append(points, plotter.XY{X: v.Size, Y: v.Value})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	f := one.Fit()
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: f.At(0)}, {X: d.until, Y: f.At(d.until)}})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), line, scatter)
	p.Legend.Add("measured", scatter)
	p.Legend.Add("line to the size to design for", line)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, d.file))
}
