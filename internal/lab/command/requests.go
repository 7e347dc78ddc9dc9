package command

import "github.com/auburnwood/auburnwood/internal/lab/requests"

type requestsCommand struct {
	requests.Options
}

func (c *requestsCommand) run(e env) error {
	o := c.Options
	o.Log = e.log
	_, err := requests.Run(e.ctx, o, e.out)
	return err
}
