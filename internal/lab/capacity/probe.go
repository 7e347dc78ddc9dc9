package capacity

import (
	"context"

	"github.com/gravitational/trace"
)

// output names one value that a probe returns.
type output struct {
	name, unit string
}

// probe measures some costs at several sizes.
type probe struct {
	// name selects the probe on the command line.
	name string
	// per is what a size counts.
	per string
	// source is the package whose code is measured.
	source  string
	sizes   []float64
	repeats int
	outputs []output
	// run measures at one size and returns one value for each output.
	run func(ctx context.Context, size float64) ([]float64, error)
}

// measure runs the probe at all its sizes.
func (p probe) measure(ctx context.Context) ([]Series, error) {
	series := make([]Series, len(p.outputs))
	for i, o := range p.outputs {
		series[i] = Series{Name: o.name, Unit: o.unit, Per: p.per, Source: p.source}
	}
	for range p.repeats {
		for _, size := range p.sizes {
			if err := ctx.Err(); err != nil {
				return nil, trace.Wrap(err, "probe %s", p.name)
			}
			values, err := p.run(ctx, size)
			if err != nil {
				return nil, trace.Wrap(err, "probe %s at %g %s", p.name, size, p.per)
			}
			for i, v := range values {
				series[i].Points = append(series[i].Points, Point{Size: size, Value: v})
			}
		}
	}
	return series, nil
}
