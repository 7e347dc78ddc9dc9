package balancerd

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// rolloutDuty competes for the duty that takes the steps of rollouts.
func (d *Daemon) rolloutDuty(ctx context.Context) error {
	r := d.leaseRunner(rollout.LeaseName, func(membership.Member) bool { return true })
	return r.Run(ctx, d.takeSteps)
}

// takeSteps is a lease.Duty. Each term reads the counters anew, so that nothing of an earlier term is counted twice.
func (d *Daemon) takeSteps(ctx context.Context, g lease.Grant) error {
	if err := awaitHead(ctx, d.store, d.adopter.Number); err != nil {
		return err
	}
	c := rollout.Controller{
		Store:   d.store,
		Configs: d.adoptedServices,
		Source:  newCounterSource(d.node),
		Tick:    d.o.RolloutTick,
		Metrics: d.o.Env.Scope,
		Log:     d.o.Env.Log,
	}
	return c.Duty(ctx, g)
}

// adoptedServices returns the configurations of the revision that this process has adopted.
func (d *Daemon) adoptedServices() []resource.ServiceConfig {
	r, _ := d.adopter.Current()
	return r.Services
}
