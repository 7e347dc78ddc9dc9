package capacity

import (
	"io"
	"slices"
)

// Options configures a run: what to measure and where to write.
type Options struct {
	// Out is the page whose tables are replaced; the samples are in the file of the same name with the suffix .json.
	Out string
	// Plots is the directory for the plots; if empty, none are drawn.
	Plots string
	// Only holds the names of the probes to run; the samples of the others are kept. If empty, all probes run.
	Only []string
	// Render writes the tables from the stored samples without measuring.
	Render bool
	// Progress receives a line for each probe; it may be nil.
	Progress io.Writer
}

func (o Options) selects(name string) bool {
	return len(o.Only) == 0 || slices.Contains(o.Only, name)
}
