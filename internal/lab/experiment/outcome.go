package experiment

import (
	"bytes"
	"regexp"
	"strings"
)

// Outcome is the result of one run.
type Outcome struct {
	// Name and Command are copied from the run.
	Name    string `json:"name"`
	Command string `json:"command"`
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// Measured has one entry for each line of key=value pairs that the run printed.
	Measured []Figures `json:"measured"`
	// Error is the violated guarantee or the failure; empty when the run passed.
	Error string `json:"error,omitempty"`
}

// Figures are the key=value pairs of one line of output.
type Figures []Figure

// Figure is one measured value.
type Figure struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// get returns the value of a key, or "" if the key is missing.
func (f Figures) get(key string) string {
	for _, one := range f {
		if one.Key == key {
			return one.Value
		}
	}
	return ""
}

var pair = regexp.MustCompile(`^([a-z][a-z0-9_]*)=(\S+)$`)

// parseOutput returns the lines of a command's output that consist only of key=value pairs.
func parseOutput(output []byte) []Figures {
	var out []Figures
	for line := range bytes.Lines(output) {
		if f := parseFigures(string(line)); f != nil {
			out = append(out, f)
		}
	}
	return out
}

// parseFigures returns nil if the line is empty or has a word that is not a key=value pair.
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
