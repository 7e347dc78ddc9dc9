package cluster

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/balancerd"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// balancer is a running balancer daemon.
type balancer struct {
	name   string
	daemon *balancerd.Daemon
	stop   context.CancelFunc
	ended  chan struct{}
	// view is the view last delivered to the packet path.
	view atomic.Pointer[view.View]
}

func (b *balancer) activeTargets() int {
	v := b.view.Load()
	if v == nil {
		return 0
	}
	n := 0
	for _, s := range v.Services {
		for _, t := range s.Targets {
			if t.State == view.StateActive {
				n++
			}
		}
	}
	return n
}

// JoinBalancer implements flows.Cluster.
func (c *Cluster) JoinBalancer(context.Context) (string, error) {
	return c.runBalancer(c.balancerSettings())
}

func (c *Cluster) balancerSettings() settings.Balancer {
	n := c.nextNumber()
	s := settings.DefaultBalancer()
	s.Name = processName("balancer", n)
	s.Region = c.cfg.Deployment.Region
	s.DataCentre = c.dataCentre(n)
	s.PacketAddress, s.ControlAddress = loopback, loopback
	s.FabricAddress = c.cfg.Fabric.Addr().String()
	s.Peers = c.controlAddrs()
	s.ObjectAPI.URL = c.apiURL
	s.ObjectAPI.CallsPerSecond = callRate
	s.CachedFlows = 1 << 16
	s.TLS = c.tls(s.Name)
	return s
}

func (c *Cluster) runBalancer(s settings.Balancer) (string, error) {
	b := &balancer{name: s.Name, ended: make(chan struct{})}
	wrap := wrapView(c.delay, func(v *view.View) { b.view.Store(v) })
	d, err := balancerd.New(balancerd.Options{Settings: s, Env: c.env(s.Process), WrapView: wrap, RolloutTick: c.cfg.RolloutTick})
	if err != nil {
		return "", trace.Wrap(err)
	}
	run, stop := context.WithCancel(c.ctx)
	b.daemon, b.stop = d, stop
	c.done.Go(func() {
		defer close(b.ended)
		if err := d.Run(run); err != nil {
			c.cfg.Log.Error().Err(err).Str("op", "run").Str("process", s.Name).Send()
		}
	})
	c.mu.Lock()
	c.balancers = append(c.balancers, b)
	c.mu.Unlock()
	// The fabric sends packets to a new balancer at once, before it has received configuration and targets.
	c.cfg.Fabric.AddBalancer(d.PacketAddr())
	return s.Name, nil
}

func (c *Cluster) controlAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, b := range c.balancers {
		out = append(out, b.daemon.ControlAddr())
	}
	return out
}

func (c *Cluster) env(p settings.Process) telemetry.Env {
	return telemetry.Env{
		Log:    c.cfg.Log.With().Str(telemetry.FieldProcess, p.Name).Logger(),
		Scope:  c.scope,
		Status: &telemetry.Status{},
	}
}

// Balancers implements flows.Cluster.
func (c *Cluster) Balancers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, b := range c.balancers {
		out = append(out, b.name)
	}
	return out
}

// LeaveBalancer implements flows.Cluster.
func (c *Cluster) LeaveBalancer(ctx context.Context, name string) error {
	b, err := c.removeBalancer(name)
	if err != nil {
		return trace.Wrap(err)
	}
	c.cfg.Fabric.RemoveBalancer(b.daemon.PacketAddr())
	b.stop()
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-b.ended:
		return nil
	}
}

// KillBalancer implements flows.Cluster.
func (c *Cluster) KillBalancer(name string) error {
	b, err := c.removeBalancer(name)
	if err != nil {
		return trace.Wrap(err)
	}
	b.daemon.Kill()
	b.stop()
	c.cfg.Fabric.RemoveBalancer(b.daemon.PacketAddr())
	return nil
}

func (c *Cluster) removeBalancer(name string) (*balancer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, b := range c.balancers {
		if b.name == name {
			c.balancers = slices.Delete(c.balancers, i, i+1)
			c.removed = append(c.removed, b)
			return b, nil
		}
	}
	return nil, trace.NotFound("balancer %s is not running", name)
}

func (b *balancer) seesActive(id string) bool {
	for _, m := range b.daemon.Members() {
		if m.ID == id {
			return m.State == membership.StateActive
		}
	}
	return false
}
