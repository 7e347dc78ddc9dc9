package experiment

// File is an experiment: runs that follow each other.
type File struct {
	// Title says what the experiment is for.
	Title string `toml:"title"`
	// Runs are the runs, in order; at least one.
	Runs []Run `toml:"run"`
}

// Run is one run of a command.
type Run struct {
	// Name names the run in the output; each name is used once.
	Name string `toml:"name"`
	// Command is the command of auburnwood-lab.
	Command string `toml:"command"`
	// Options are the command's options by their long names, without the dashes.
	Options Options `toml:"options"`
}

// Options are values by the names of command-line options: texts, numbers, booleans, or lists of texts and numbers for
// options that may be repeated.
type Options map[string]any
