package experiment

// File is an experiment: a sequence of runs.
type File struct {
	// Title describes the purpose of the experiment.
	Title string `toml:"title"`
	// Runs are executed in order; there must be at least one.
	Runs []Run `toml:"run"`
}

// Run is one run of a command.
type Run struct {
	// Name identifies the run in the output; it is unique in the file.
	Name string `toml:"name"`
	// Command is the name of a subcommand of auburnwood-lab.
	Command string `toml:"command"`
	// Options are the command's options by long name, without the dashes.
	Options Options `toml:"options"`
}

// Options maps names of command-line options to values: strings, numbers, booleans, or lists of strings and numbers for
// options that may be repeated.
type Options map[string]any
