package command

import (
	"io"
	"os"

	"github.com/auburnwood/auburnwood/internal/lab/capacity"
)

type capacityCommand struct {
	Out    string   `long:"out" value-name:"FILE" default:"docs/CAPACITY.md" description:"Page whose tables are written"`
	Plots  string   `long:"plots" value-name:"DIRECTORY" default:"docs/img" description:"Directory of the plots"`
	Only   []string `long:"only" value-name:"PROBE" description:"Measure this probe only and keep the other samples; may be given several times"`
	Render bool     `long:"render" description:"Write the tables from the kept samples and measure nothing"`
}

func (c *capacityCommand) run(e env) error {
	return capacity.Run(e.ctx, capacity.Options{
		Out:      c.Out,
		Plots:    c.Plots,
		Only:     c.Only,
		Render:   c.Render,
		Progress: terminalOf(e.errOut),
	})
}

// terminalOf returns w if it is a character device such as a terminal, and nil otherwise.
func terminalOf(w io.Writer) io.Writer {
	f, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return w
}
