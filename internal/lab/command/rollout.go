package command

import "github.com/auburnwood/auburnwood/pkg/rollout"

type rolloutCommand struct {
	Runs int    `long:"runs" default:"500" description:"Seeded runs of each scenario and gate"`
	Seed uint64 `long:"seed" default:"3" description:"Makes the runs repeatable"`
}

func (c *rolloutCommand) run(e env) error {
	return rollout.WriteTable(e.out, rollout.DefaultComparison(c.Runs, c.Seed).Run())
}
