package balancerd

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/rollout"
)

// rolloutDuty competes for the duty of executing rollouts.
func (d *Daemon) rolloutDuty(ctx context.Context) error {
	r := d.leaseRunner(rollout.LeaseName, func(membership.Member) bool { return true })
	return r.Run(ctx, d.runRollouts)
}

// runRollouts is a lease.Duty. Each term starts with new totals, so that nothing is counted twice across terms.
func (d *Daemon) runRollouts(ctx context.Context, g lease.Grant) error {
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
