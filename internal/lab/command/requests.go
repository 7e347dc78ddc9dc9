package command

import (
	"github.com/auburnwood/auburnwood/internal/lab/cluster"
	"github.com/auburnwood/auburnwood/internal/lab/requests"
)

type requestsCommand struct {
	requests.Options
	Daemons bool `long:"daemons" description:"run through balancers and agents; the baselines stay without"`
}

func (c *requestsCommand) run(e env) error {
	o := c.Options
	o.Log = e.log
	if c.Daemons {
		o.NewDaemons = cluster.NewRequestDaemons(e.log)
	}
	_, err := requests.Run(e.ctx, o, e.out)
	return err
}
