package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// target is a target stand-in and its agent daemon.
type target struct {
	id, service string
	// standin is nil when the target is run by the caller of runAgent.
	standin *standin.Target
	daemon  *agentd.Daemon
	stop    context.CancelFunc
	ended   chan struct{}
	// view is the view last delivered to the agent.
	view atomic.Pointer[view.Service]
	// state and since are guarded by Cluster.mu.
	state view.TargetState
	since time.Time
}

func (t *target) kill() {
	t.daemon.Kill()
	if t.standin != nil {
		t.standin.Kill()
	}
}

// seesActiveTargets reports whether the agent's view has at least the given number of active targets.
func (t *target) seesActiveTargets(targets int) bool {
	v := t.view.Load()
	if v == nil {
		return false
	}
	n := 0
	for _, x := range v.Targets {
		if x.State == view.StateActive {
			n++
		}
	}
	return n >= targets
}

// addTarget starts a target and its agent, and announces the target to the agent.
func (c *Cluster) addTarget(size flows.ServiceSize) (*target, error) {
	n := c.nextNumber()
	id := processName(size.Name, n)
	cfg := standin.Config{
		Service: size.Name, ID: id, Slots: int(size.Slots), Connections: int(c.cfg.Connections[size.Name]), Seed: c.cfg.Seed,
	}
	if c.cfg.Target != nil {
		c.cfg.Target(&cfg)
	}
	st, err := standin.Start(cfg, c.cfg.Journal)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t, err := c.startAgent(id, n, st)
	if err != nil {
		st.Kill()
		return nil, trace.Wrap(err)
	}
	t.service = size.Name
	a := agentd.Announcement{Service: size.Name, Version: cfg.Version, Slots: size.Slots, Connections: c.cfg.Connections[size.Name]}
	if err := announce(c.ctx, t.daemon.AnnounceAddr(), a); err != nil {
		t.kill()
		return nil, trace.Wrap(err)
	}
	c.mu.Lock()
	c.targets = append(c.targets, t)
	c.mu.Unlock()
	c.setState(t, view.StateActive)
	return t, nil
}

func (c *Cluster) startAgent(id string, n int, st *standin.Target) (*target, error) {
	return c.runAgent(c.agentSettings(id, n, st.Addr()), st)
}

func (c *Cluster) agentSettings(id string, n int, target netip.AddrPort) settings.Agent {
	s := settings.DefaultAgent()
	s.Name = id
	s.Region = c.cfg.Deployment.Region
	s.DataCentre = c.dataCentre(n)
	s.PacketAddress, s.AnnounceAddress = loopback, loopback
	s.FabricAddress = c.cfg.Fabric.Addr().String()
	s.TargetAddress = target.String()
	s.Balancers = c.controlAddrs()
	s.TLS = c.tls(id)
	if c.mode() == resource.ModeRequest {
		s.ControlAddress = loopback
		s.ObjectAPI.URL = c.apiURL
		s.ObjectAPI.CallsPerSecond = callRate
	}
	return s
}

func (c *Cluster) runAgent(s settings.Agent, st *standin.Target) (*target, error) {
	t := &target{id: s.Name, standin: st, ended: make(chan struct{})}
	wrap := wrapView(c.delay, func(v *view.Service) { t.view.Store(v) })
	d, err := agentd.New(agentd.Options{Settings: s, Env: c.env(s.Process), WrapView: wrap})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	run, stop := context.WithCancel(c.ctx)
	t.daemon, t.stop = d, stop
	c.done.Go(func() {
		defer close(t.ended)
		if err := d.Run(run); err != nil {
			c.cfg.Log.Error().Err(err).Str("op", "run").Str("process", s.Name).Send()
		}
	})
	return t, nil
}

// announce sends a target's announcement to its agent, as the target program does.
func announce(ctx context.Context, addr string, a agentd.Announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return trace.Wrap(err)
	}
	return call(ctx, http.MethodPut, "http://"+addr+agentd.PathTarget, body)
}

func call(ctx context.Context, method, url string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	// A kept-alive connection may lead to a stopped agent whose port was reused.
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return trace.Errorf("%s %s: %s", method, url, resp.Status)
	}
	return nil
}

func (c *Cluster) setState(t *target, s view.TargetState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state, t.since = s, time.Now()
}

func (c *Cluster) find(id string) (*target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.id == id && t.state != 0 {
			return t, nil
		}
	}
	return nil, trace.NotFound("target %s is not running", id)
}

// Targets implements flows.Cluster.
func (c *Cluster) Targets() []flows.TargetStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]flows.TargetStatus, 0, len(c.targets))
	for _, t := range c.targets {
		out = append(out, flows.TargetStatus{ID: t.id, Service: t.service, State: t.state, Open: t.standin.Open(), Since: t.since})
	}
	return out
}

// JoinTarget implements flows.Cluster.
func (c *Cluster) JoinTarget(ctx context.Context, service string) (string, error) {
	for _, size := range c.cfg.Deployment.Services {
		if size.Name != service {
			continue
		}
		t, err := c.addTarget(size)
		if err != nil {
			return "", trace.Wrap(err)
		}
		c.setState(t, view.StateJoining)
		err = await(ctx, func() bool { return c.activeEverywhere(t.id) })
		c.setState(t, view.StateActive)
		return t.id, trace.Wrap(err, "wait for target %s to become active", t.id)
	}
	return "", trace.NotFound("unknown service %q", service)
}

// activeEverywhere reports whether every balancer has the target as an active member.
func (c *Cluster) activeEverywhere(id string) bool {
	c.mu.Lock()
	balancers := append([]*balancer(nil), c.balancers...)
	c.mu.Unlock()
	for _, b := range balancers {
		if !b.seesActive(id) {
			return false
		}
	}
	return true
}

// DrainTarget implements flows.Cluster.
func (c *Cluster) DrainTarget(ctx context.Context, id string) error {
	t, err := c.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	c.setState(t, view.StateDraining)
	if err := call(ctx, http.MethodPost, "http://"+t.daemon.AnnounceAddr()+agentd.PathDrain, nil); err != nil {
		return trace.Wrap(err, "drain %s", id)
	}
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "drain %s", id)
	case <-t.ended:
	}
	c.setState(t, 0)
	t.standin.Kill()
	return nil
}

// KillTarget implements flows.Cluster.
func (c *Cluster) KillTarget(id string) error {
	t, err := c.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	t.standin.Kill()
	c.setState(t, view.StateDraining)
	return nil
}

// KillAgent implements flows.Cluster.
func (c *Cluster) KillAgent(id string) error {
	t, err := c.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	c.setState(t, 0)
	t.kill()
	return nil
}
