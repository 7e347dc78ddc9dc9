package balancerd

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/balancer"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/revision"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Daemon is a balancer process.
type Daemon struct {
	o     Options
	store objectapi.Store
	// compileStore is the object API within the call budget of the compile duty.
	compileStore objectapi.Store
	// eras tracks the eras of the object API.
	eras     *objectapi.Eras
	listener net.Listener
	adopter  *revision.Adopter
	node     *peer.Node
	balancer *balancer.Balancer
	refusals *refusal.Log
	holders  holders
	killed   context.Context
	kill     context.CancelFunc
	once     sync.Once
}

// New opens the sockets of a balancer. Run starts it.
func New(o Options) (*Daemon, error) {
	o = o.withDefaults()
	d := &Daemon{o: o, adopter: revision.NewAdopter(o.Env.Log), eras: objectapi.NewEras()}
	d.killed, d.kill = context.WithCancel(context.Background())
	d.openStores()
	d.refusals = d.newRefusals()
	if err := d.openBalancer(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.openNode(); err != nil {
		d.balancer.Kill()
		return nil, trace.Wrap(err)
	}
	if o.Env.Status != nil {
		o.Env.Status.Set(d.status)
	}
	return d, nil
}

func (d *Daemon) openBalancer() error {
	s := d.o.Settings
	listen, err := netip.ParseAddrPort(s.PacketAddress)
	if err != nil {
		return trace.Wrap(err, "packet_address")
	}
	fabric, err := netip.ParseAddrPort(s.FabricAddress)
	if err != nil {
		return trace.Wrap(err, "fabric_address")
	}
	d.balancer, err = balancer.New(balancer.Config{
		Name:        s.Name,
		Listen:      listen,
		Fabric:      fabric,
		Workers:     s.Workers,
		CachedFlows: s.CachedFlows,
	}, balancer.Deps{
		Log:           d.o.Env.Log,
		Metrics:       d.o.Env.Scope,
		Refusals:      d.refusals,
		OnUnreachable: func(a netip.AddrPort) { d.node.RecordFailure(a) },
	})
	return trace.Wrap(err)
}

func (d *Daemon) openNode() error {
	s := d.o.Settings
	listener, err := net.Listen("tcp", s.ControlAddress)
	if err != nil {
		return trace.Wrap(err, "listen for control calls at %s", s.ControlAddress)
	}
	d.listener = listener
	d.node, err = peer.NewNode(peer.NodeConfig{
		Self: membership.Member{
			ID:          s.Name,
			Incarnation: d.o.Incarnation,
			Region:      s.Region,
			DataCentre:  s.DataCentre,
			PacketAddr:  d.balancer.Addr(),
		},
		Listener:         listener,
		Seeds:            s.Peers,
		TLS:              peer.TLSConfig{CA: s.TLS.CA, Cert: s.TLS.Certificate, Key: s.TLS.Key},
		Adopter:          d.adopter,
		Mirror:           d.receiveMirrored,
		Dial:             d.o.Dial,
		BytesPerSecond:   s.Control.BytesPerSecond,
		ExchangeInterval: s.Control.ExchangeInterval.Duration(),
		Seed:             d.o.Incarnation,
		Log:              d.o.Env.Log,
		Metrics:          d.o.Env.Scope,
	})
	if err != nil {
		_ = listener.Close()
	}
	return trace.Wrap(err)
}

// PacketAddr returns the address of the packet socket.
func (d *Daemon) PacketAddr() netip.AddrPort { return d.balancer.Addr() }

// ControlAddr returns the address of the control listener.
func (d *Daemon) ControlAddr() string { return d.listener.Addr().String() }

func (d *Daemon) Name() string { return d.o.Settings.Name }

// Revision returns the number of the adopted revision; 0 when none is known.
func (d *Daemon) Revision() uint64 { return d.adopter.Number() }

// Members returns this balancer's view of all processes.
func (d *Daemon) Members() []membership.Member { return d.node.Table().Members() }

func (d *Daemon) Refusals() *refusal.Log { return d.refusals }

// Run runs the balancer until ctx ends, then shuts down gracefully: it leaves the membership, drains the packet path
// and writes its refusal records.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := d.withKill(ctx)
	defer cancel()
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error { return d.balancer.Run(run) })
	g.Go(func() error { return d.node.Serve(run) })
	g.Go(func() error { return d.node.WatchViews(run, d.o.WrapView(d.adoptView)) })
	g.Go(func() error { return d.followRevisions(run) })
	g.Go(func() error { return d.compileDuty(run) })
	g.Go(func() error { return d.membersDuty(run) })
	g.Go(func() error { return d.cleanupDuty(run) })
	g.Go(func() error { return d.rolloutDuty(run) })
	g.Go(func() error { return d.runRefusals(run) })
	g.Go(func() error { return objectapi.LogEras(run, d.eras, d.o.Env.Log) })
	err := g.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err, "balancer %s", d.o.Settings.Name)
}

// withKill returns a context that ends with ctx or when Kill is called.
func (d *Daemon) withKill(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.killed, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Kill closes the packet socket and the control listener immediately, as a crash of the VM would.
func (d *Daemon) Kill() {
	d.once.Do(func() {
		d.balancer.Kill()
		d.node.Kill()
		d.kill()
	})
}

// adoptView applies a view to the packet path and, if it was applied, acknowledges its revision.
func (d *Daemon) adoptView(v *view.View) {
	if d.balancer.SetView(v) {
		d.node.Confirm(v.Revision)
	}
}

// followRevisions keeps the adopter at the highest accepted revision.
func (d *Daemon) followRevisions(ctx context.Context) error {
	f := revision.Follower{Store: d.store, Adopter: d.adopter, Log: d.o.Env.Log}
	return f.Run(ctx)
}
