package command

import "github.com/auburnwood/auburnwood/internal/lab/control"

type controlCommand struct {
	Balancers int    `long:"balancers" default:"8" description:"Balancers at the start"`
	Targets   int    `long:"targets" default:"20" description:"Targets at the start"`
	Changes   int    `long:"changes" default:"200" description:"Changes that operators make"`
	Faults    string `long:"faults" default:"none" description:"Faults, separated by commas; all and none are short forms"`
	Seed      uint64 `long:"seed" default:"1" description:"Makes the choices repeatable"`
	Sweep     bool   `long:"sweep" description:"Measure several sizes without faults and print the slopes instead"`
}

func (c *controlCommand) run(e env) error {
	if c.Sweep {
		return control.Sweep(e.ctx, e.out)
	}
	faults, err := control.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	o := control.Options{
		Balancers: c.Balancers,
		Targets:   c.Targets,
		Changes:   c.Changes,
		Faults:    faults,
		Seed:      c.Seed,
		Log:       e.log,
	}
	_, err = control.Run(e.ctx, o, e.out)
	return err
}
