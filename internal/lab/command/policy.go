package command

import (
	"errors"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/lab/policy"
	mechanisms "github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// everyMechanism is the value of --without that requests one run for each mechanism.
const everyMechanism = "each"

// policyCommand compares the decisions of pass-through services with and without individual mechanisms.
type policyCommand struct {
	Scenarios []string `long:"scenario" value-name:"NAME" description:"Scenario to play; may be given several times, all without it"`
	Without   []string `long:"without" value-name:"MECHANISM" description:"Mechanism to switch off in runs of their own, or 'each'; may be given several times"`
	Seeds     int      `long:"seeds" default:"3" description:"Number of seeds of each run"`
	Jobs      int      `long:"jobs" default:"4" description:"Runs at a time"`
	Plot      string   `long:"plot" value-name:"FILE" description:"PNG file for the windows of the first scenario"`
}

func (c *policyCommand) run(e env) error {
	if c.Seeds < 1 || c.Jobs < 1 {
		return trace.BadParameter("seeds and jobs must be 1 or more")
	}
	scenarios, err := policy.Find(c.Scenarios)
	if err != nil {
		return err
	}
	without, err := c.mechanisms()
	if err != nil {
		return err
	}
	rows, err := policy.Compare(e.ctx, scenarios, without, c.Seeds, c.Jobs)
	if err != nil {
		return err
	}
	if err := policy.Print(e.out, rows); err != nil {
		return trace.Wrap(err, "printing the table")
	}
	if c.Plot != "" {
		if err := policy.Draw(c.Plot, rows); err != nil {
			return err
		}
	}
	return reportViolations(e, policy.Violations(rows))
}

// reportViolations prints the violated bounds and returns an error if there are any, so that the exit code is not 0.
func reportViolations(e env, broken []string) error {
	for _, line := range broken {
		fmt.Fprintln(e.out, line)
	}
	if len(broken) > 0 {
		return errors.New("some bounds were violated")
	}
	return nil
}

// mechanisms returns the mechanisms to switch off.
func (c *policyCommand) mechanisms() ([]mechanisms.Mechanism, error) {
	all := mechanisms.Mechanisms()
	if slices.Contains(c.Without, everyMechanism) {
		return all, nil
	}
	var out []mechanisms.Mechanism
	for _, name := range c.Without {
		i := slices.IndexFunc(all, func(m mechanisms.Mechanism) bool { return m.Name == name })
		if i < 0 {
			return nil, trace.NotFound("unknown mechanism %q", name)
		}
		out = append(out, all[i])
	}
	return out, nil
}
