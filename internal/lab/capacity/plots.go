package capacity

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// drawing is a plot of a series with its fitted line up to the size to design for.
type drawing struct {
	file, series string
	until        float64
}

func drawings() []drawing {
	return []drawing{
		{"capacity-view.png", "view and rows in a balancer's memory", fleetServices},
		{"capacity-change.png", "change of one service, bytes of a balancer", fleetBalancers},
		{"capacity-churn.png", "members changed one by one, bytes of a balancer", fleetTargets * changesOfRestart / (restartMinutes * 60)},
		{"capacity-flows.png", "open flow in an agent, heap and stacks", flowsOfAgent},
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
	fitted, err := plotter.NewLine(line(one, f, d.until))
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), fitted, scatter)
	p.Legend.Add("measured", scatter)
	p.Legend.Add("line to the size to design for", fitted)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, d.file))
}

// line returns points of the fitted line up to a size.
func line(s Series, f Fit, until float64) plotter.XYs {
	const steps = 100
	var out plotter.XYs
	first := s.Sizes()[0]
	for i := range steps + 1 {
		x := first + (until-first)*float64(i)/steps
		out = append(out, plotter.XY{X: x, Y: f.At(s.scale(x))})
	}
	return out
}
