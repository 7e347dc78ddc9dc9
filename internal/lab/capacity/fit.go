package capacity

// Fit is a least-squares line through measured points.
type Fit struct {
	// Intercept and Slope define the line.
	Intercept, Slope float64
	// Residual is the standard deviation of the points from the line, in the unit of the values.
	Residual float64
	// Spread is the largest range of the repeats of one size, as a fraction of their mean.
	Spread float64
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
