package command

import (
	"fmt"
	"time"

	"github.com/auburnwood/auburnwood/internal/lab/soak"
)

// soakCommand runs the daemon binaries of pass-through services under random faults.
type soakCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"Seed of the faults and the callers"`
	Length    time.Duration `long:"length" default:"30s" description:"How long faults are made"`
	KillAll   time.Duration `long:"kill-all-after" value-name:"TIME" description:"Instead of random faults, kill all daemons so long after their first start"`
	KillAgain time.Duration `long:"kill-all-again-after" value-name:"TIME" description:"Kill all daemons again so long after their return"`
	Changes   bool          `long:"changes" description:"Also move a route between the services, and let targets run on after their deregistration and reports of ended ones arrive late"`
	Balancers int           `long:"balancers" default:"4" description:"Number of balancers"`
	Targets   int           `long:"targets" default:"9" description:"Number of targets, each with its agent"`
	Rate      int           `long:"rate" default:"40" description:"New flows a second"`
	Programs  string        `long:"programs" value-name:"DIR" required:"yes" description:"Directory with auburnwood-dsr-balancer and auburnwood-dsr-agent"`
	Dir       string        `long:"dir" value-name:"DIR" required:"yes" description:"Directory for settings and logs"`
}

func (c *soakCommand) run(e env) error {
	r, err := soak.Run(e.ctx, soak.Options{
		Seed: c.Seed, Length: c.Length, KillAllAfter: c.KillAll, KillAllAgainAfter: c.KillAgain, Changes: c.Changes,
		Balancers: c.Balancers, Targets: c.Targets, Rate: c.Rate, Programs: c.Programs, Dir: c.Dir,
	})
	if err != nil {
		return err
	}
	for _, v := range r.Violations {
		fmt.Fprintln(e.out, v)
	}
	fmt.Fprintln(e.out, r)
	if r.TotalViolations > 0 {
		return fmt.Errorf("seed %d: %d guarantees were violated; the logs are in %s", c.Seed, r.TotalViolations, c.Dir)
	}
	return nil
}
