package capacity

import (
	"io"
	"slices"
)

// Options say what to measure and where to write.
type Options struct {
	// Out is the page whose tables are written; samples go to the file of the same name ending in .json.
	Out string
	// Plots is the directory for the plots; empty draws none.
	Plots string
	// Only holds the names of the probes to run; the samples of the others are taken from the file. Empty runs all.
	Only []string
	// Render writes the tables from the samples of the file and measures nothing.
	Render bool
	// Progress gets a line before each probe; nil drops them.
	Progress io.Writer
}

func (o Options) selects(name string) bool {
	return len(o.Only) == 0 || slices.Contains(o.Only, name)
}
