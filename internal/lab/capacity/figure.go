package capacity

import "fmt"

// figure is a cost at the size to design for.
type figure struct {
	role, name string
	// terms are the summands.
	terms []term
	unit  string
	// scale is a factor on the sum, for example to convert bytes to MB; 0 means 1.
	scale float64
	// budget is the highest value allowed; 0 means that none is set.
	budget float64
	// mechanism names the code that carries the cost, and test the fault tests of that code.
	mechanism, test string
}

// term is a summand of a figure: a fitted line at a size, a slope times a size, or a constant.
type term struct {
	series string
	// size is the size at which the line is evaluated.
	size float64
	// slopeOnly leaves out the intercept.
	slopeOnly bool
	// times is a factor on the value of the line; 0 means 1.
	times float64
	// why explains times or plain on the page.
	why string
	// plain is the value of a term without a series.
	plain float64
}

// at returns the value of the fitted line at a size.
func at(series string, size float64) term { return term{series: series, size: size} }

// slope returns the slope of the fitted line times a size, without the intercept.
func slope(series string, size float64) term {
	return term{series: series, size: size, slopeOnly: true}
}

// by multiplies a term by times; why explains the factor on the page.
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

// value returns the scaled sum of the terms.
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
