package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Series is one cost measured at several sizes.
type Series struct {
	// Name says what is measured.
	Name string `json:"name"`
	// Unit is the unit of the values.
	Unit string `json:"unit"`
	// Per is what a size counts.
	Per string `json:"per"`
	// Source is the package whose code was measured.
	Source string `json:"source"`
	// Doublings fits the line over the logarithm of the size to base 2.
	Doublings bool `json:"doublings,omitempty"`
	// Points are the measured values, in the order in which they were measured.
	Points []Point `json:"points"`
}

// Sizes returns the measured sizes, sorted, each once.
func (s Series) Sizes() []float64 {
	var sizes []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// scale returns where a size stands on the axis of the line.
func (s Series) scale(size float64) float64 {
	if s.Doublings {
		return math.Log2(size)
	}
	return size
}

// perText says what the slope counts.
func (s Series) perText() string {
	if s.Doublings {
		return "doubling of " + s.Per + "s"
	}
	return s.Per
}

// values returns what was measured at a size.
func (s Series) values(size float64) []float64 {
	var out []float64
	for _, p := range s.Points {
		if p.Size == size {
			out = append(out, p.Value)
		}
	}
	return out
}

// Fit returns the line through the points by least squares.
func (s Series) Fit() Fit {
	x, y := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		x[i], y[i] = s.scale(p.Size), p.Value
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	residuals := make([]float64, len(x))
	for i := range x {
		residuals[i] = y[i] - f.At(x[i])
	}
	if len(x) > 1 {
		f.Residual = stat.StdDev(residuals, nil)
	}
	f.Spread = s.spread()
	return f
}

// spread returns the largest distance between repeats of one size as a part of their mean.
func (s Series) spread() float64 {
	worst := 0.0
	for _, size := range s.Sizes() {
		v := s.values(size)
		mean := stat.Mean(v, nil)
		if mean > 0 {
			worst = max(worst, (slices.Max(v)-slices.Min(v))/mean)
		}
	}
	return worst
}
