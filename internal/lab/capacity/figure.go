package capacity

import "fmt"

// figure is a cost at the size to design for.
type figure struct {
	role, name string
	// terms are summed.
	terms []term
	unit  string
	// scale is multiplied with the sum, for example to get MB out of bytes; 0 means 1.
	scale float64
	// budget is the highest value allowed; 0 means that none is set.
	budget float64
	// mechanism names the packages that carry the cost, and test the test that makes it fail.
	mechanism, test string
}

// term is one part of a figure: a measured line at a size, a slope times a size, or a plain value.
type term struct {
	series string
	// size is where the line is read.
	size float64
	// slopeOnly leaves out the intercept.
	slopeOnly bool
	// times is multiplied with the line's value; 0 means 1.
	times float64
	// why says what times is.
	why string
	// plain is the value of a term without a series.
	plain float64
}

// at reads the line at a size.
func at(series string, size float64) term { return term{series: series, size: size} }

// slope reads the slope times a size.
func slope(series string, size float64) term {
	return term{series: series, size: size, slopeOnly: true}
}

// by multiplies a term; why says with what.
func (t term) by(times float64, why string) term {
	t.times, t.why = times, why
	return t
}

// constant is a term without a measurement.
func constant(v float64, why string) term { return term{plain: v, why: why} }

func (t term) value(s Samples) (float64, error) {
	if t.series == "" {
		return t.plain, nil
	}
	one, ok := s.Series(t.series)
	if !ok {
		return 0, errMissing(t.series)
	}
	f := one.Fit()
	x := one.scale(t.size)
	v := f.At(x)
	if t.slopeOnly {
		v = f.Slope * x
	}
	if t.times != 0 {
		v *= t.times
	}
	return v, nil
}

func (t term) text(s Samples) string {
	if t.series == "" {
		return fmt.Sprintf("%s (%s)", number(t.plain), t.why)
	}
	one, _ := s.Series(t.series)
	f := one.Fit()
	text := fmt.Sprintf("*%s*: %s %s/%s × %s", t.series, number(f.Slope), one.Unit, one.perText(), number(one.scale(t.size)))
	if !t.slopeOnly {
		text += fmt.Sprintf(" + %s", number(f.Intercept))
	}
	if t.times != 0 {
		text = fmt.Sprintf("(%s) × %s %s", text, number(t.times), t.why)
	}
	return text
}

// value returns the figure.
func (f figure) value(s Samples) (float64, error) {
	v, err := sum(s, f.terms)
	if f.scale != 0 {
		v *= f.scale
	}
	return v, err
}

func (f figure) line(s Samples) (string, error) {
	v, err := f.value(s)
	if err != nil {
		return "", err
	}
	formula := ""
	for i, t := range f.terms {
		if i > 0 {
			formula += "; plus "
		}
		formula += t.text(s)
	}
	return fmt.Sprintf("| %s | %s | **%s %s** | %s | %s | %s |\n", f.name, formula, number(v), f.unit, f.verdict(v), f.mechanism, f.test), nil
}

func (f figure) verdict(v float64) string {
	switch {
	case f.budget == 0:
		return ""
	case v > f.budget:
		return fmt.Sprintf("%s: **exceeded**", number(f.budget))
	}
	return fmt.Sprintf("%s: holds", number(f.budget))
}
