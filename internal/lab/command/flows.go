package command

import (
	"time"

	"github.com/auburnwood/auburnwood/internal/lab/cluster"
	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/lab/passthrough"
)

type flowsCommand struct {
	Deployment string        `long:"deployment" choice:"zarqa" choice:"saobien" default:"zarqa" description:"Whose services and targets"`
	Balancers  int           `long:"balancers" default:"3" description:"Balancers at the start"`
	Flows      int           `long:"flows" default:"1000" description:"Flows in the whole run"`
	Faults     string        `long:"faults" default:"planned" description:"Faults, separated by commas; planned and none are short forms"`
	Rounds     int           `long:"rounds" default:"1" description:"Joins and drains of targets in a row"`
	Seed       uint64        `long:"seed" default:"1" description:"Makes the choice of faults repeatable"`
	Window     time.Duration `long:"window" default:"15s" description:"Time of the faults"`
	Lying      bool          `long:"lying-target" description:"Let one target of each service report a load of 0"`
	Direct     bool          `long:"direct" description:"Give views to balancers and agents without the control plane"`
	Trace      bool          `long:"trace" description:"Print the packets of the slowest flows"`
	Mode       string        `long:"mode" choice:"stream" choice:"passthrough" default:"stream" description:"Whether agents end connections, or hand packets to targets as they are"`
}

func (c *flowsCommand) run(e env) error {
	faults, err := flows.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	if c.Mode == "passthrough" {
		_, err = passthrough.Run(e.ctx, passthrough.Options{
			Deployment: c.Deployment,
			Balancers:  c.Balancers,
			Flows:      c.Flows,
			Faults:     faults,
			Seed:       c.Seed,
			Window:     c.Window,
			Log:        e.log,
		}, e.out)
		return err
	}
	o := flows.Options{
		Deployment:  c.Deployment,
		Balancers:   c.Balancers,
		Flows:       c.Flows,
		Faults:      faults,
		Rounds:      c.Rounds,
		Seed:        c.Seed,
		Window:      c.Window,
		LyingTarget: c.Lying,
		Trace:       c.Trace,
		Log:         e.log,
		NewCluster:  cluster.New,
	}
	if c.Direct {
		o.NewCluster = nil
	}
	_, err = flows.Run(e.ctx, o, e.out)
	return err
}
