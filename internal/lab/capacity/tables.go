package capacity

import (
	"fmt"
	"math"
	"strings"
)

// machineText states where and when the samples were taken.
func machineText(s Samples) string {
	return fmt.Sprintf("Measured %s on %s. A whole run took %.0f s and %.2f GB of memory at most.\n",
		s.Measured, s.Machine, s.Seconds, s.PeakMemory/1e9)
}

// slopeTable lists the fitted lines of all series.
func slopeTable(s Samples) string {
	var b strings.Builder
	b.WriteString("| probe | cost | unit | sizes | slope | intercept | residual | spread of repeats | code measured |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range s.Probes {
		for _, one := range p.Series {
			f := one.Fit()
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s per %s | %s | %s | %.0f%% | %s |\n", p.Probe, one.Name, one.Unit,
				joinSizes(one.Sizes()), number(f.Slope), one.perText(), number(f.Intercept), number(f.Residual), 100*f.Spread, one.Source)
		}
	}
	return b.String()
}

func joinSizes(sizes []float64) string {
	var parts []string
	for _, v := range sizes {
		parts = append(parts, number(v))
	}
	return strings.Join(parts, ", ")
}

// number formats a value with about three significant digits; integers below 1e6 are exact.
func number(v float64) string {
	abs := math.Abs(v)
	switch {
	case v == math.Trunc(v) && abs < 1e6:
		return fmt.Sprintf("%.0f", v)
	case abs >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case abs >= 100:
		return fmt.Sprintf("%.0f", v)
	case abs >= 10:
		return fmt.Sprintf("%.1f", v)
	case abs >= 0.001:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// figureTable lists each figure at the size to design for.
func figureTable(s Samples) (string, error) {
	var b strings.Builder
	role := ""
	for _, f := range figures() {
		if f.role != role {
			role = f.role
			fmt.Fprintf(&b, "\n### %s\n\n| figure | worked out as | value | budget | carried by | fault test |\n| --- | --- | --- | --- | --- | --- |\n", role)
		}
		line, err := f.line(s)
		if err != nil {
			return "", err
		}
		b.WriteString(line)
	}
	return b.String() + "\n", nil
}
