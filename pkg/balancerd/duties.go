package balancerd

import (
	"context"
	"strconv"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// maxCandidates is the highest number of live balancers that compete for a duty. More would only add reads of the lease
// object.
const maxCandidates = 3

// compileDuty competes for the duty of compiling services into revisions.
func (d *Daemon) compileDuty(ctx context.Context) error {
	c := revision.Compiler{Store: d.compileStore, Acks: d.node, Adopter: d.adopter, Metrics: d.o.Env.Scope, Log: d.o.Env.Log}
	r := d.leaseRunner(revision.LeaseName, func(membership.Member) bool { return true })
	r.Store = d.compileStore
	return r.Run(ctx, c.Duty)
}

// leaseRunner returns a runner for a duty whose candidates are selected from the balancers that match.
func (d *Daemon) leaseRunner(name string, match func(membership.Member) bool) *lease.Runner {
	return &lease.Runner{
		Store: d.store,
		Config: lease.Config{
			Name:     name,
			Holder:   d.o.Settings.Name + "/" + strconv.FormatUint(d.o.Incarnation, 10),
			Duration: d.o.Settings.LeaseTime.Duration(),
		},
		Log:      d.o.Env.Log,
		Metrics:  d.o.Env.Scope,
		Eligible: func() bool { return eligible(name, d.o.Settings.Name, d.node.Table().Balancers(), match) },
	}
}
