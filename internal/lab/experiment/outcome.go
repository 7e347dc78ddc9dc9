package experiment

import (
	"bytes"
	"regexp"
	"strings"
)

// Outcome is what one run gave.
type Outcome struct {
	// Name and Command are those of the run.
	Name    string `json:"name"`
	Command string `json:"command"`
	// Seconds is how long the run took.
	Seconds float64 `json:"seconds"`
	// Measured has one entry for each line of figures that the run printed.
	Measured []Figures `json:"measured"`
	// Error is the broken promise or the failure; empty when the run passed.
	Error string `json:"error,omitempty"`
}

// Figures are the key=value pairs of one line.
type Figures []Figure

// Figure is one measured value.
type Figure struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// get returns the value of a key.
func (f Figures) get(key string) string {
	for _, one := range f {
		if one.Key == key {
			return one.Value
		}
	}
	return ""
}

var pair = regexp.MustCompile(`^([a-z][a-z0-9_]*)=(\S+)$`)

// figures returns the lines of the output that hold nothing but key=value pairs: what the commands end with.
func figures(output []byte) []Figures {
	var out []Figures
	for line := range bytes.Lines(output) {
		if f := parseFigures(string(line)); f != nil {
			out = append(out, f)
		}
	}
	return out
}

func parseFigures(line string) Figures {
	var f Figures
	for _, word := range strings.Fields(line) {
		m := pair.FindStringSubmatch(word)
		if m == nil {
			return nil
		}
		f = append(f, Figure{Key: m[1], Value: m[2]})
	}
	return f
}
