package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Series is one cost measured at several sizes.
type Series struct {
	// Name describes the measured cost; figures, limits and plots refer to the series by it.
	Name string `json:"name"`
	// Unit is the unit of the values.
	Unit string `json:"unit"`
	// Per is the unit of the sizes, for example "service".
	Per string `json:"per"`
	// Source names the packages whose code was measured.
	Source string `json:"source"`
	// Doublings is set if the line is fitted over the base-2 logarithm of the size.
	Doublings bool `json:"doublings,omitempty"`
	// Points are the measured values, in order of measurement.
	Points []Point `json:"points"`
}

// Sizes returns the distinct measured sizes in ascending order.
func (s Series) Sizes() []float64 {
	var sizes []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// scale returns the x value of a size: its base-2 logarithm if Doublings is set, else the size.
func (s Series) scale(size float64) float64 {
	if s.Doublings {
		return math.Log2(size)
	}
	return size
}

// perText returns the unit that the slope is per.
func (s Series) perText() string {
	if s.Doublings {
		return "doubling of " + s.Per + "s"
	}
	return s.Per
}

// values returns the values measured at a size.
func (s Series) values(size float64) []float64 {
	var out []float64
	for _, p := range s.Points {
		if p.Size == size {
			out = append(out, p.Value)
		}
	}
	return out
}

// Fit fits a line through the points by least squares.
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

// spread returns the largest range of the repeats of one size, as a fraction of their mean.
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
