package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// PrintJSON writes the outcomes as one JSON array.
func PrintJSON(w io.Writer, outcomes []Outcome) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(outcomes))
}

// PrintTable writes one table for each command, with a row for each line of figures and a column for each key.
func PrintTable(w io.Writer, outcomes []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, command := range commandsOf(outcomes) {
		if i > 0 {
			_, _ = fmt.Fprintln(t)
		}
		printCommand(t, command, outcomes)
	}
	return trace.Wrap(t.Flush())
}

func commandsOf(outcomes []Outcome) []string {
	var out []string
	seen := make(map[string]bool)
	for _, o := range outcomes {
		if !seen[o.Command] {
			out = append(out, o.Command)
		}
		seen[o.Command] = true
	}
	return out
}

func printCommand(w io.Writer, command string, outcomes []Outcome) {
	keys := keysOf(command, outcomes)
	_, _ = fmt.Fprintln(w, strings.Join(append(append([]string{command, "seconds"}, keys...), "outcome"), "\t"))
	for _, o := range outcomes {
		if o.Command != command {
			continue
		}
		rows := o.Measured
		if len(rows) == 0 {
			rows = []Figures{nil}
		}
		for _, f := range rows {
			_, _ = fmt.Fprintln(w, strings.Join(o.row(f, keys), "\t"))
		}
	}
}

// keysOf returns the keys of a command's figures in order of first appearance.
func keysOf(command string, outcomes []Outcome) []string {
	var keys []string
	seen := make(map[string]bool)
	for _, o := range outcomes {
		if o.Command != command {
			continue
		}
		for _, f := range o.Measured {
			for _, one := range f {
				if !seen[one.Key] {
					keys = append(keys, one.Key)
				}
				seen[one.Key] = true
			}
		}
	}
	return keys
}

func (o Outcome) row(f Figures, keys []string) []string {
	row := []string{o.Name, fmt.Sprintf("%.1f", o.Seconds)}
	for _, k := range keys {
		row = append(row, f.get(k))
	}
	if o.Error == "" {
		return append(row, "passed")
	}
	return append(row, strings.ReplaceAll(o.Error, "\n", "; "))
}
