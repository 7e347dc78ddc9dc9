package command

import (
	"fmt"

	"github.com/auburnwood/auburnwood/internal/lab/demo"
	"github.com/auburnwood/auburnwood/internal/lab/flows"
)

type demoCommand struct {
	Deployment string `long:"deployment" choice:"zarqa" choice:"saobien" choice:"both" default:"both" description:"Whose services and targets"`
	Seed       uint64 `long:"seed" default:"1" description:"Makes the run repeatable"`
}

func (c *demoCommand) run(e env) error {
	for _, d := range flows.Deployments {
		if c.Deployment != "both" && c.Deployment != d.Name {
			continue
		}
		o := demo.Options{Deployment: d.Name, Seed: c.Seed, Log: e.log}
		if err := demo.Run(e.ctx, o, e.out); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(e.out)
	}
	_, _ = fmt.Fprintln(e.out, "demo: every promise held")
	return nil
}
