package cluster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/lab/requests"
	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
)

const (
	requestBalancers   = 3
	requestConnections = 2000
	// Shares of writes whose answer is lost after the write took effect, and of writes lost before it.
	answerLostShare = 0.10
	writeLostShare  = 0.05
)

// requestDaemons runs the daemons of a request lab run; the lab itself runs the targets.
type requestDaemons struct {
	c       *Cluster
	fabric  *fabric.Fabric
	address map[string]string
}

var _ requests.Daemons = (*requestDaemons)(nil)

// NewRequestDaemons returns a requests.NewDaemons that logs to log.
func NewRequestDaemons(log zerolog.Logger) requests.NewDaemons {
	return func(ctx context.Context, deployment string, deadline time.Duration, seed uint64) (requests.Daemons, error) {
		d, err := flows.FindDeployment(deployment)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		f, err := fabric.New(fabric.Config{Seed: seed})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		r := &requestDaemons{fabric: f, address: map[string]string{}}
		connections := map[string]uint32{}
		d.Services = slices.Clone(d.Services)
		for i, s := range d.Services {
			r.address[s.Name] = netip.AddrPortFrom(netip.MustParseAddr(s.Address.IP), s.Address.Port).String()
			connections[s.Name] = requestConnections
			d.Services[i].Targets = 0
		}
		c, err := New(ctx, flows.ClusterConfig{
			Deployment: d, Connections: connections, Balancers: requestBalancers, Fabric: f, Seed: seed,
			Mode: resource.ModeRequest, Limits: resource.Limits{Deadline: resource.Duration(deadline)}, Log: log,
		})
		if err != nil {
			f.Close()
			return nil, trace.Wrap(err)
		}
		r.c = c.(*Cluster)
		return r, nil
	}
}

// DialService implements requests.Dialer: the packets of the connection cross the fabric one by one.
func (r *requestDaemons) DialService(ctx context.Context, service string, caller netip.Addr) (net.Conn, error) {
	ip := caller.As4()
	ip[0] = 10
	return r.fabric.NewCaller(netip.AddrFrom4(ip)).DialContext(ctx, "tcp", r.address[service])
}

// StartAgent implements requests.Daemons.
func (r *requestDaemons) StartAgent(service, name string, slots int, addr netip.AddrPort) (requests.Daemon, error) {
	s := r.c.agentSettings(name, r.c.nextNumber(), addr)
	t, err := r.c.runAgent(s, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t.service = service
	a := agentd.Announcement{Service: service, Slots: uint32(slots), Connections: requestConnections}
	if err := announce(r.c.ctx, t.daemon.AnnounceAddr(), a); err != nil {
		t.daemon.Kill()
		return nil, trace.Wrap(err, "announce %s", name)
	}
	r.c.mu.Lock()
	r.c.targets = append(r.c.targets, t)
	r.c.mu.Unlock()
	r.c.setState(t, view.StateActive)
	return &requestDaemon{c: r.c, t: t}, nil
}

// AwaitActive implements requests.Daemons.
func (r *requestDaemons) AwaitActive(ctx context.Context, targets int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return await(ctx, func() bool {
		r.c.mu.Lock()
		defer r.c.mu.Unlock()
		want := map[string]int{}
		for _, t := range r.c.targets {
			want[t.service]++
		}
		if slices.ContainsFunc(r.c.balancers, func(b *balancer) bool { return b.activeTargets() < targets }) {
			return false
		}
		return !slices.ContainsFunc(r.c.targets, func(t *target) bool { return !t.seesActiveTargets(want[t.service]) })
	})
}

// StoreFaults implements requests.Daemons.
func (r *requestDaemons) StoreFaults(down, loses bool) {
	f := store.Faults{Outage: down}
	if loses {
		f.LoseShare, f.DropShare = answerLostShare, writeLostShare
	}
	r.c.store.SetFaults(f)
}

// Close implements requests.Daemons.
func (r *requestDaemons) Close() {
	r.c.Close()
	r.fabric.Close()
}

// requestDaemon is one agent of a request lab run.
type requestDaemon struct {
	c *Cluster
	t *target
}

// Drain implements requests.Daemon.
func (d *requestDaemon) Drain(ctx context.Context) error {
	d.c.setState(d.t, view.StateDraining)
	if err := call(ctx, http.MethodPost, "http://"+d.t.daemon.AnnounceAddr()+agentd.PathDrain, nil); err != nil {
		return trace.Wrap(err, "drain %s", d.t.id)
	}
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "drain %s", d.t.id)
	case <-d.t.ended:
	}
	d.c.setState(d.t, 0)
	return nil
}

// Kill implements requests.Daemon.
func (d *requestDaemon) Kill() {
	d.c.setState(d.t, 0)
	d.t.daemon.Kill()
}
