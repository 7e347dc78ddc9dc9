package flows

import (
	"context"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/balancer"
	"github.com/auburnwood/auburnwood/pkg/view"
)

const balancerCachedFlows = 1 << 16

type directBalancer struct {
	name     string
	balancer *balancer.Balancer
	stop     context.CancelFunc
	ended    chan struct{}
}

// JoinBalancer implements Cluster.
func (d *direct) JoinBalancer(context.Context) (string, error) {
	name := fmt.Sprintf("balancer-%02d", d.nextNumber())
	b, err := balancer.New(balancer.Config{
		Name:        name,
		Listen:      loopbackPort(),
		Fabric:      d.cfg.Fabric.Addr(),
		CachedFlows: balancerCachedFlows,
	}, balancer.Deps{Log: d.cfg.Log.With().Str("balancer", name).Logger(), Metrics: d.scope, Refusals: &d.recorder})
	if err != nil {
		return "", trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(d.ctx)
	x := &directBalancer{name: name, balancer: b, stop: stop, ended: make(chan struct{})}
	d.views.add(name, func(v *view.View) { b.SetView(v) })
	d.done.Go(func() {
		defer close(x.ended)
		_ = b.Run(ctx)
	})
	d.mu.Lock()
	d.balancers = append(d.balancers, x)
	d.mu.Unlock()
	d.cfg.Fabric.AddBalancer(b.Addr())
	return name, nil
}

// Balancers implements Cluster.
func (d *direct) Balancers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, b := range d.balancers {
		out = append(out, b.name)
	}
	return out
}

// LeaveBalancer implements Cluster.
func (d *direct) LeaveBalancer(ctx context.Context, name string) error {
	b, err := d.takeBalancer(name)
	if err != nil {
		return trace.Wrap(err)
	}
	d.cfg.Fabric.RemoveBalancer(b.balancer.Addr())
	b.stop()
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-b.ended:
		d.views.remove(name)
		return nil
	}
}

// KillBalancer implements Cluster.
func (d *direct) KillBalancer(name string) error {
	b, err := d.takeBalancer(name)
	if err != nil {
		return trace.Wrap(err)
	}
	b.balancer.Kill()
	b.stop()
	d.views.remove(name)
	d.cfg.Fabric.RemoveBalancer(b.balancer.Addr())
	return nil
}

// takeBalancer removes a balancer from the list of running ones and returns it.
func (d *direct) takeBalancer(name string) (*directBalancer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, b := range d.balancers {
		if b.name == name {
			d.balancers = slices.Delete(d.balancers, i, i+1)
			return b, nil
		}
	}
	return nil, trace.NotFound("balancer %s is not running", name)
}
