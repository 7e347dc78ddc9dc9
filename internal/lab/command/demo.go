package command

import (
	"fmt"
	"time"

	"github.com/auburnwood/auburnwood/internal/lab/demo"
	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/lab/passthrough"
)

type demoCommand struct {
	Deployment string `long:"deployment" choice:"zarqa" choice:"saobien" choice:"both" default:"both" description:"Whose services and targets"`
	Seed       uint64 `long:"seed" default:"1" description:"Makes the run repeatable"`
}

// Parameters of the demo's pass-through run.
const (
	passThroughBalancers = 3
	passThroughFlows     = 150
	passThroughWindow    = 4 * time.Second
)

// runPassThrough runs pass-through flows during planned changes and kills of balancers and agents.
func (c *demoCommand) runPassThrough(e env, deployment string) error {
	faults, err := flows.ParseFaults("planned,balancer-kill,agent-kill")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.out, "pass-through services of %s, while balancers and targets are added, removed and killed:\n", deployment)
	_, err = passthrough.Run(e.ctx, passthrough.Options{
		Deployment: deployment,
		Balancers:  passThroughBalancers,
		Flows:      passThroughFlows,
		Faults:     faults,
		Seed:       c.Seed,
		Window:     passThroughWindow,
		Log:        e.log,
	}, e.out)
	return err
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
		if err := c.runPassThrough(e, d.Name); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(e.out)
	}
	_, _ = fmt.Fprintln(e.out, "demo: every promise held")
	return nil
}
