package command

import (
	"context"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/auburnwood/auburnwood/internal/lab/experiment"
)

const (
	// formatJSON selects JSON output instead of a table.
	formatJSON = "json"
	// standinName is the command that serves until its context ends.
	standinName = "standin"
)

type runCommand struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"Form of the output"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"Experiment file (TOML)"`
	} `positional-args:"yes"`
}

func (c *runCommand) run(e env) error {
	f, err := experiment.Load(c.Args.File)
	if err != nil {
		return err
	}
	for i, r := range f.Runs {
		if _, err := parseRun(r.Arguments()); err != nil {
			return trace.BadParameter("%s: run %d: %s: %v", c.Args.File, i+1, r.Command, err)
		}
	}
	outcomes, err := experiment.Execute(e.ctx, f, e.execute, terminalOf(e.errOut))
	if printErr := c.print(e.out, outcomes); printErr != nil {
		return printErr
	}
	return err
}

func (c *runCommand) print(w io.Writer, outcomes []experiment.Outcome) error {
	if c.Format == formatJSON {
		return experiment.PrintJSON(w, outcomes)
	}
	return experiment.PrintTable(w, outcomes)
}

// execute runs one command line of an experiment.
func (e env) execute(ctx context.Context, args []string, out io.Writer) error {
	r, err := parseRun(args)
	if err != nil {
		return err
	}
	e.ctx, e.out = ctx, out
	return r.run(e)
}

// parseRun parses a command line and returns its command. It rejects "standin", which does not end, and "run", which
// would nest experiments.
func parseRun(args []string) (runner, error) {
	p := flags.NewParser(&struct{}{}, flags.PassDoubleDash)
	all := commands()
	for _, c := range all {
		if _, no := c.data.(*runCommand); no || c.name == standinName {
			continue
		}
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	rest, err := p.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, trace.BadParameter("unexpected %q", rest[0])
	}
	return findCommand(all, p.Active.Name), nil
}
