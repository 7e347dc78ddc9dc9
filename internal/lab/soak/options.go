package soak

import (
	"time"

	"github.com/gravitational/trace"
)

// Options describe a run.
type Options struct {
	// Seed determines the faults and the behaviour of callers.
	Seed uint64
	// Length is how long faults are injected; the run ends some seconds later.
	Length time.Duration
	// KillAllAfter, if not 0, replaces the random faults by one: so long after the first start of the whole system, all
	// daemons are killed at once, and a target ends with them.
	KillAllAfter time.Duration
	// KillAllAgainAfter, if not 0, is the time from the return of the killed daemons until all are killed a second time.
	KillAllAgainAfter time.Duration
	// Changes adds changes to the random faults: the route of one address moves between the services, targets run on after
	// their deregistration, as if they had got no answer to it, and reports of processes that have ended arrive late.
	Changes bool
	// Balancers and Targets are the numbers of VMs; a third of the targets belong to the second service.
	Balancers int
	Targets   int
	// Rate is the number of new flows a second.
	Rate int
	// Programs is the directory with the daemons' executables.
	Programs string
	// Dir is the directory for settings and logs.
	Dir string
}

// Limits of Options.
const (
	maxMachines = 60
	maxRate     = 500
)

func (o Options) check() error {
	if o.Length <= 0 || o.Programs == "" || o.Dir == "" {
		return trace.BadParameter("length, programs and dir are required")
	}
	if o.KillAllAgainAfter > 0 && o.KillAllAfter <= 0 {
		return trace.BadParameter("daemons can be killed again only after they were killed")
	}
	if o.Balancers < 1 || o.Targets < 2 || o.Balancers+o.Targets > maxMachines {
		return trace.BadParameter("balancers must be 1 or more, targets 2 or more, both together at most %d", maxMachines)
	}
	if o.Rate < 1 || o.Rate > maxRate {
		return trace.BadParameter("rate must be from 1 to %d", maxRate)
	}
	return nil
}
