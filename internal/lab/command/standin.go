package command

import (
	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/lab/processes"
)

// standinCommand serves the object API and the fabric for daemons that run as separate processes.
type standinCommand struct {
	Deployment string `long:"deployment" choice:"zarqa" choice:"saobien" default:"zarqa" description:"Whose services and targets"`
	Balancers  int    `long:"balancers" default:"3" description:"Number of balancers"`
	BasePort   int    `long:"base-port" default:"27000" description:"First of 700 ports on 127.0.0.1"`
	Write      string `long:"write" value-name:"DIR" description:"Write the daemons' settings and the services to a directory, and end"`
	Call       string `long:"call" value-name:"PATH" description:"Call running stand-ins, for example /downloads?service=route-svc&count=10&bytes=1000, and end"`
}

func (c *standinCommand) run(e env) error {
	d, err := flows.FindDeployment(c.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	l := processes.Layout{Deployment: d, Balancers: c.Balancers, BasePort: c.BasePort}
	if c.Write != "" {
		return l.WriteFiles(c.Write)
	}
	if c.Call != "" {
		return processes.Call(e.ctx, l, c.Call, e.out)
	}
	return processes.Serve(e.ctx, l, e.out)
}
