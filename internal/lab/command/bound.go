package command

import (
	"fmt"
	"time"

	"github.com/auburnwood/auburnwood/internal/lab/policy"
)

// boundCommand computes an upper bound on the requests that any system could serve around a power loss, and simulates
// the decisions of pass-through services under the same load for comparison.
type boundCommand struct {
	Balancers int           `long:"balancers" default:"5" description:"Number of balancers"`
	Targets   int           `long:"targets" default:"12" description:"Number of targets"`
	Slots     int           `long:"slots" default:"2" description:"Requests that a target works on at once"`
	Work      time.Duration `long:"work" default:"25ms" description:"Mean time of a request"`
	Rate      float64       `long:"rate" default:"400" description:"Requests a second"`
	Aim       time.Duration `long:"aim" default:"120ms" description:"Response time that callers are promised"`
	Budget    time.Duration `long:"budget" default:"1200ms" description:"Time after which callers give up"`
	Caller    time.Duration `long:"caller-delay" default:"3ms" description:"One-way delay between callers and balancers"`
	Outage    time.Duration `long:"dark" default:"1400ms" description:"How long everything is without power, until its processes run again"`
	ColdTime  time.Duration `long:"cold-time" default:"2s" description:"How long targets are slow after their start"`
	Cold      float64       `long:"cold-factor" default:"1.6" description:"How much longer they work then"`
	ColdRate  float64       `long:"cold-per-second" description:"New flows that a cold target takes in a second; 0 for no limit"`
	Length    time.Duration `long:"length" default:"12s" description:"How long callers send requests; power is lost after 3 s"`
	Seeds     int           `long:"seeds" default:"3" description:"Number of seeds"`
}

// options returns the simulation options for one seed.
func (c *boundCommand) options(seed int) policy.Options {
	o := policy.Defaults()
	o.Seed = uint64(seed)
	o.Balancers, o.Targets, o.Slots, o.Work = c.Balancers, c.Targets, c.Slots, c.Work
	o.Load = c.Rate * c.Work.Seconds() / float64(c.Targets*c.Slots)
	o.Aim, o.Budget, o.Caller, o.Length = c.Aim, c.Budget, c.Caller, c.Length
	o.ColdTime, o.ColdFactor, o.ColdPerSecond, o.CrashTime = c.ColdTime, c.Cold, c.ColdRate, time.Second
	o.Faults = []policy.Fault{{Kind: policy.PowerLoss, At: 3 * time.Second, For: c.Outage, Share: 1}}
	return o
}

func (c *boundCommand) run(e env) error {
	var bound, reached policy.Counts
	for seed := 1; seed <= c.Seeds; seed++ {
		b, err := policy.Bound(c.options(seed))
		if err != nil {
			return err
		}
		r, err := policy.Run(c.options(seed))
		if err != nil {
			return err
		}
		bound, reached = bound.Plus(b), reached.Plus(r.Counts)
	}
	for _, line := range []struct {
		name string
		of   policy.Counts
	}{{"bound", bound}, {"reached", reached}} {
		fmt.Fprintf(e.out, "%s: asked=%d in_time=%d late=%d lost=%d worth=%.4f\n", line.name, line.of.Requests, line.of.InTime, line.of.Late, line.of.Lost, line.of.Worth())
	}
	return nil
}
