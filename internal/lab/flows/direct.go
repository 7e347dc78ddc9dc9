package flows

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	directRevision = 1
	// directDetection is the time for which the views still contain a killed agent.
	directDetection = 1500 * time.Millisecond
	// joinTime is the wait between publishing a target as joining and as active, in which it receives announcements of
	// flows.
	joinTime = 500 * time.Millisecond
	// targetDownDetection is the delay before the views show that the process of a target was killed.
	targetDownDetection = 200 * time.Millisecond
)

// direct is a Cluster without a control plane: it distributes views to balancers and agents itself.
type direct struct {
	cfg      ClusterConfig
	ctx      context.Context
	cancel   context.CancelFunc
	views    *distributor
	scope    tally.TestScope
	recorder recorder
	done     sync.WaitGroup

	mu        sync.Mutex
	targets   []*directTarget
	balancers []*directBalancer
	started   int
}

// NewDirect starts balancers, agents and targets without a control plane.
func NewDirect(ctx context.Context, cfg ClusterConfig) (Cluster, error) {
	d := &direct{cfg: cfg, views: newDistributor(cfg.Seed, cfg.Uneven), scope: tally.NewTestScope("", nil)}
	d.ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *direct) start(ctx context.Context) error {
	for _, s := range d.cfg.Deployment.Services {
		for range s.Targets {
			if _, err := d.addTarget(s, view.StateActive); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	d.views.publishNow(d.view())
	for range d.cfg.Balancers {
		if _, err := d.JoinBalancer(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Services implements Cluster.
func (d *direct) Services() []resource.Service {
	var out []resource.Service
	for _, s := range d.cfg.Deployment.Services {
		out = append(out, d.service(s))
	}
	return out
}

func (d *direct) service(size ServiceSize) resource.Service {
	s := resource.Service{Name: size.Name, Spec: resource.ServiceSpec{
		Addresses:  []resource.Address{size.Address},
		Mode:       resource.ModeStream,
		Preference: d.cfg.Deployment.Preference,
		Limits:     resource.Limits{Connections: d.cfg.Connections[size.Name]},
	}}
	if d.cfg.Service != nil {
		d.cfg.Service(&s)
	}
	return s
}

// view returns a snapshot of the current targets.
func (d *direct) view() *view.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &view.View{Revision: directRevision}
	for _, s := range d.cfg.Deployment.Services {
		vs := &view.Service{Name: s.Name, Revision: directRevision, Spec: d.service(s).Spec}
		for _, t := range d.targets {
			if t.service == s.Name && t.info.State != 0 {
				vs.Targets = append(vs.Targets, t.info)
			}
		}
		slices.SortFunc(vs.Targets, func(a, b view.Target) int { return compare(a.ID, b.ID) })
		v.Services = append(v.Services, vs)
	}
	slices.SortFunc(v.Services, func(a, b *view.Service) int { return compare(a.Name, b.Name) })
	return v
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// publish distributes the current view and waits until every process has received it.
func (d *direct) publish(ctx context.Context) error {
	return wait.For(ctx, d.views.publish(d.view()))
}

func (d *direct) setState(t *directTarget, s view.TargetState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.info.State = s
	t.since = time.Now()
	if s == view.StateActive {
		t.info.ActiveSince = t.since
	}
}

func (d *direct) find(id string) (*directTarget, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if t.info.ID == id && t.info.State != 0 {
			return t, nil
		}
	}
	return nil, trace.NotFound("target %s is not running", id)
}

// Targets implements Cluster.
func (d *direct) Targets() []TargetStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]TargetStatus, 0, len(d.targets))
	for _, t := range d.targets {
		out = append(out, TargetStatus{
			ID: t.info.ID, Service: t.service, State: t.info.State, Open: t.target.Open(), Since: t.since,
		})
	}
	return out
}

// JoinTarget implements Cluster.
func (d *direct) JoinTarget(ctx context.Context, service string) (string, error) {
	size, err := d.size(service)
	if err != nil {
		return "", trace.Wrap(err)
	}
	t, err := d.addTarget(size, view.StateJoining)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if err := d.publish(ctx); err != nil {
		return "", trace.Wrap(err)
	}
	if err := wait.For(ctx, joinTime); err != nil {
		return "", trace.Wrap(err)
	}
	d.setState(t, view.StateActive)
	return t.info.ID, trace.Wrap(d.publish(ctx))
}

func (d *direct) size(service string) (ServiceSize, error) {
	for _, s := range d.cfg.Deployment.Services {
		if s.Name == service {
			return s, nil
		}
	}
	return ServiceSize{}, trace.NotFound("unknown service %q", service)
}

// DrainTarget implements Cluster.
func (d *direct) DrainTarget(ctx context.Context, id string) error {
	t, err := d.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	d.setState(t, view.StateDraining)
	d.views.publish(d.view())
	t.agent.Drain(ctx)
	d.setState(t, 0)
	if err := d.publish(ctx); err != nil {
		return trace.Wrap(err)
	}
	d.views.remove(id)
	t.kill()
	return nil
}

// KillTarget implements Cluster.
func (d *direct) KillTarget(id string) error {
	t, err := d.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	t.target.Kill()
	time.AfterFunc(targetDownDetection, func() {
		d.setState(t, view.StateDraining)
		d.views.publish(d.view())
	})
	return nil
}

// KillAgent implements Cluster.
func (d *direct) KillAgent(id string) error {
	t, err := d.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	d.views.remove(id)
	t.kill()
	time.AfterFunc(directDetection, func() {
		d.setState(t, 0)
		d.views.publish(d.view())
	})
	return nil
}

// SuspectTarget implements Suspecter.
func (d *direct) SuspectTarget(id string, t time.Duration) error {
	x, err := d.find(id)
	if err != nil {
		return trace.Wrap(err)
	}
	d.setState(x, 0)
	d.views.publish(d.view())
	time.AfterFunc(t, func() {
		d.setState(x, view.StateActive)
		d.views.publish(d.view())
	})
	return nil
}

// StoreDown implements Cluster. It does nothing, as there is no store.
func (d *direct) StoreDown(bool) {}

// Refusals implements Cluster.
func (d *direct) Refusals() []refusal.Record { return d.recorder.records() }

// Counts implements Cluster.
func (d *direct) Counts() PathCounts { return CountPath(d.scope.Snapshot()) }

// CountPath returns the totals of all agents that share a metrics scope.
func CountPath(s tally.Snapshot) PathCounts {
	var c PathCounts
	for _, counter := range s.Counters() {
		if counter.Name() != "agent.decisions" {
			continue
		}
		switch counter.Tags()["decision"] {
		case "deliver":
			c.Delivered += counter.Value()
		case "forward", "offer", "decline":
			c.Passed += counter.Value()
		}
	}
	return c
}

// Close implements Cluster.
func (d *direct) Close() {
	d.cancel()
	d.mu.Lock()
	targets, balancers := d.targets, d.balancers
	d.mu.Unlock()
	for _, b := range balancers {
		b.balancer.Kill()
	}
	for _, t := range targets {
		t.kill()
	}
	d.done.Wait()
}

// targetConfig returns the configuration of the stand-in for a new target.
func (d *direct) targetConfig(s ServiceSize, id string) target.Config {
	c := target.Config{Service: s.Name, ID: id, Slots: int(s.Slots), Connections: int(d.cfg.Connections[s.Name]), Seed: d.cfg.Seed}
	if d.cfg.Target != nil {
		d.cfg.Target(&c)
	}
	return c
}

func (d *direct) nextNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	return d.started
}

func loopbackPort() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

func targetID(service string, n int) string { return fmt.Sprintf("%s-%02d", service, n) }
