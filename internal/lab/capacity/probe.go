package capacity

import (
	"context"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// output describes one value that a probe returns.
type output struct {
	name, unit string
	// doublings is set if the cost grows with the logarithm of the size.
	doublings bool
}

// probe measures one or more costs at several sizes.
type probe struct {
	// name selects the probe on the command line.
	name string
	// per is the unit of the sizes, for example "service".
	per string
	// source names the packages whose code is measured.
	source  string
	sizes   []float64
	repeats int
	outputs []output
	// parallel measures all sizes concurrently; only for counts that do not depend on processor load.
	parallel bool
	// run measures one size and returns a value for each output.
	run func(ctx context.Context, size float64) ([]float64, error)
}

// measure runs the probe at all sizes, repeats times.
func (p probe) measure(ctx context.Context) ([]Series, error) {
	series := make([]Series, len(p.outputs))
	for i, o := range p.outputs {
		series[i] = Series{Name: o.name, Unit: o.unit, Per: p.per, Source: p.source, Doublings: o.doublings}
	}
	for range p.repeats {
		values, err := p.once(ctx)
		if err != nil {
			return nil, err
		}
		for k, size := range p.sizes {
			for i, v := range values[k] {
				series[i].Points = append(series[i].Points, Point{Size: size, Value: v})
			}
		}
	}
	return series, nil
}

// once measures each size once.
func (p probe) once(ctx context.Context) ([][]float64, error) {
	values := make([][]float64, len(p.sizes))
	g, ctx := errgroup.WithContext(ctx)
	if !p.parallel {
		g.SetLimit(1)
	}
	for k, size := range p.sizes {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return trace.Wrap(err, "probe %s", p.name)
			}
			var err error
			values[k], err = p.run(ctx, size)
			return trace.Wrap(err, "probe %s at %g %s", p.name, size, p.per)
		})
	}
	return values, g.Wait()
}
