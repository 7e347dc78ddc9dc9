package agentd

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/agent"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// leaveLinger is how long a drained agent goes on forwarding packets of other agents' flows after it has left, so that
// balancers that learn of it late lose nothing.
const leaveLinger = 2 * time.Second

// Daemon is one agent process.
type Daemon struct {
	o         Options
	listener  net.Listener
	announce  *announceHandler
	refusals  *refusal.Log
	transport *transport
	requests  *requests
	control   net.Listener
	agent     atomic.Pointer[agent.Agent]
	session   atomic.Pointer[peer.Session]
	killed    context.Context
	kill      context.CancelFunc
	once      sync.Once
	// tls secures the connections between agents; nil means plain TCP.
	tls *tls.Config
}

// New opens the announcement listener. Run waits for the target's announcement and then serves it.
func New(o Options) (*Daemon, error) {
	o = o.withDefaults()
	l, err := net.Listen("tcp", o.Settings.AnnounceAddress)
	if err != nil {
		return nil, trace.Wrap(err, "listen for announcements at %s", o.Settings.AnnounceAddress)
	}
	d := &Daemon{o: o, listener: l, transport: &transport{}}
	d.announce = newAnnounceHandler(d.state)
	d.requests = &requests{d: d}
	d.killed, d.kill = context.WithCancel(context.Background())
	d.refusals = refusal.NewLog(refusal.Config{
		Process:     o.Settings.Name,
		Incarnation: o.Incarnation,
		Mirror:      d.transport,
		Logger:      o.Env.Log,
		Scope:       o.Env.Scope,
	})
	if err := d.secure(); err != nil {
		_ = l.Close()
		return nil, trace.Wrap(err)
	}
	if err := d.openControl(); err != nil {
		_ = l.Close()
		return nil, trace.Wrap(err)
	}
	if o.Env.Status != nil {
		o.Env.Status.Set(d.status)
	}
	return d, nil
}

// openControl listens for the requests of other agents when the settings ask for it.
func (d *Daemon) openControl() error {
	addr := d.o.Settings.ControlAddress
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listen for other agents at %s", addr)
	}
	d.control = l
	if d.tls != nil {
		d.control = &peerListener{Listener: l, config: d.tls, log: d.o.Env.Log}
	}
	return nil
}

// secure loads the TLS files that the settings name, so that a mistake in them ends the start.
func (d *Daemon) secure() error {
	config, err := d.tlsFiles().Load()
	if err != nil {
		return trace.Wrap(err)
	}
	d.tls = config
	return nil
}

// tlsFiles returns the TLS files of the settings as the peers' connections take them.
func (d *Daemon) tlsFiles() peer.TLSConfig {
	s := d.o.Settings.TLS
	return peer.TLSConfig{CA: s.CA, Cert: s.Certificate, Key: s.Key}
}

// controlAddr returns the address at which other agents hand over requests; empty when there is none.
func (d *Daemon) controlAddr() string {
	if d.control == nil {
		return ""
	}
	return d.control.Addr().String()
}

// AnnounceAddr returns the address of the announcement listener.
func (d *Daemon) AnnounceAddr() string { return d.listener.Addr().String() }

// Agent returns the packet path; nil until the target has announced itself.
func (d *Daemon) Agent() *agent.Agent { return d.agent.Load() }

// Refusals returns the process's refusal records.
func (d *Daemon) Refusals() *refusal.Log { return d.refusals }

// Run waits for the target's announcement and serves it until ctx ends or the target drains. Either way flows get their
// drain time to end.
func (d *Daemon) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(d.killed)
	server := &http.Server{Handler: d.announce.handler(), ReadHeaderTimeout: time.Second}
	g.Go(func() error { return serveUntil(run, server, d.listener) })
	g.Go(func() error {
		defer d.kill()
		return d.serve(ctx, run)
	})
	err := g.Wait()
	if d.killed.Err() != nil && trace.Unwrap(err) == context.Canceled {
		return nil
	}
	return trace.Wrap(err, "agent %s", d.o.Settings.Name)
}

// serveUntil serves HTTP until ctx ends.
func serveUntil(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return trace.Wrap(err, "serve announcements")
	}
	return nil
}

// serve runs the packet path and the control session from the announcement to the end of the drain.
func (d *Daemon) serve(ctx, run context.Context) error {
	a, ok := d.awaitAnnouncement(ctx, run)
	if !ok {
		return nil
	}
	parts, err := d.open(a)
	if err != nil {
		return err
	}
	sessionCtx, leave := context.WithCancel(run)
	defer leave()
	agentCtx, stop := context.WithCancel(run)
	defer stop()
	defer d.requests.close()
	var g errgroup.Group
	g.Go(func() error { return parts.agent.Run(agentCtx) })
	g.Go(func() error { return parts.session.Run(sessionCtx) })
	g.Go(func() error { return ignoreCancelled(d.refusals.Run(agentCtx)) })
	g.Go(func() error {
		d.awaitDrain(ctx, run)
		d.drain(run, parts, leave)
		stop()
		return nil
	})
	return g.Wait()
}

func (d *Daemon) awaitAnnouncement(ctx, run context.Context) (Announcement, bool) {
	select {
	case a := <-d.announce.announced:
		return a, true
	case <-d.announce.drained:
	case <-ctx.Done():
	case <-run.Done():
	}
	return Announcement{}, false
}

func (d *Daemon) awaitDrain(ctx, run context.Context) {
	select {
	case <-d.announce.drained:
	case <-ctx.Done():
		d.announce.startDrain()
	case <-run.Done():
	}
}

// drain lets flows and requests end, hands over the refusal records, leaves the membership and forwards late packets a
// while. A request that another agent hands over in that while is answered too.
func (d *Daemon) drain(run context.Context, p parts, leave context.CancelFunc) {
	if run.Err() != nil {
		return
	}
	limit, cancel := context.WithTimeout(run, p.agent.DrainTime())
	defer cancel()
	p.agent.Drain(run)
	d.requests.await(limit)
	sync, stop := context.WithTimeout(run, leaveLinger)
	_ = d.refusals.Sync(sync)
	stop()
	leave()
	select {
	case <-run.Done():
	case <-time.After(leaveLinger):
	}
	d.requests.await(limit)
}

// parts are what runs once the target has announced itself.
type parts struct {
	agent   *agent.Agent
	session *peer.Session
}

func (d *Daemon) open(a Announcement) (parts, error) {
	p, err := d.openAgent(a)
	if err != nil {
		return parts{}, trace.Wrap(err)
	}
	s, err := d.openSession(a, p)
	if err != nil {
		p.Kill()
		return parts{}, trace.Wrap(err)
	}
	d.agent.Store(p)
	d.session.Store(s)
	d.transport.session.Store(s)
	return parts{agent: p, session: s}, nil
}

func (d *Daemon) openAgent(a Announcement) (*agent.Agent, error) {
	s := d.o.Settings
	packets, err := netip.ParseAddrPort(s.PacketAddress)
	if err != nil {
		return nil, trace.Wrap(err, "packet_address")
	}
	fabric, err := netip.ParseAddrPort(s.FabricAddress)
	if err != nil {
		return nil, trace.Wrap(err, "fabric_address")
	}
	target, err := netip.ParseAddrPort(s.TargetAddress)
	if err != nil {
		return nil, trace.Wrap(err, "target_address")
	}
	d.requests.announced = a
	return agent.New(agent.Config{
		RequestHandler: d.requests,
		Name:           s.Name,
		Incarnation:    d.o.Incarnation,
		Service:        a.Service,
		PacketAddress:  packets,
		FabricAddress:  fabric,
		TargetAddress:  target,
		MTU:            s.MTU,
		Workers:        s.Workers,
		Connections:    a.Connections,
		DialTimeout:    s.TargetDialTimeout.Duration(),
		DrainTime:      s.DrainTime.Duration(),
	}, agent.Deps{
		Log:          d.o.Env.Log,
		Metrics:      d.o.Env.Scope,
		Refusals:     d.refusals,
		OnDraining:   d.announceDrain,
		OnTargetDown: d.targetDown,
	})
}

func (d *Daemon) openSession(a Announcement, p *agent.Agent) (*peer.Session, error) {
	s := d.o.Settings
	return peer.NewSession(peer.SessionConfig{
		Self: membership.Member{
			ID:          s.Name,
			Incarnation: d.o.Incarnation,
			Region:      s.Region,
			DataCentre:  s.DataCentre,
			PacketAddr:  p.PacketAddr(),
			ControlAddr: d.controlAddr(),
			Service:     a.Service,
			Version:     a.Version,
			Slots:       a.Slots,
			Connections: a.Connections,
			Weight:      a.Weight,
		},
		Seeds:    s.Balancers,
		TLS:      d.tlsFiles(),
		JoinTime: d.o.JoinTime,
		Ready:    newReadiness(d.requests.service.Load, s.Name).ready,
		Load:     func() uint32 { return uint32(p.OpenFlows()) },
		Counts:   func() (uint64, uint64) { return d.counts(p) },
		OnView: d.o.WrapView(func(v *view.Service) {
			d.requests.setService(v)
			p.SetService(v)
		}),
		OnAgents:       d.requests.setAgents,
		OnRemoved:      func(string) { p.SetService(nil) },
		BytesPerSecond: s.Control.BytesPerSecond,
		Log:            d.o.Env.Log,
		Metrics:        d.o.Env.Scope,
	})
}

// announceDrain spreads that the target leaves, and stops new requests on connections that are open.
func (d *Daemon) announceDrain() {
	d.requests.drain()
	if s := d.session.Load(); s != nil {
		s.Drain()
	}
}

// targetDown ends the agent's life when its target takes no connection any more: a target that comes back announces
// itself to the agent's next incarnation.
func (d *Daemon) targetDown(err error) {
	d.o.Env.Log.Warn().Err(err).Str("op", "target-down").Str("peer", d.o.Settings.TargetAddress).Send()
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.announce.startDrain()
	}
}

// Kill closes every socket at once and tells nobody, as if the VM were gone.
func (d *Daemon) Kill() {
	d.once.Do(func() {
		if s := d.session.Load(); s != nil {
			s.Kill()
		}
		if a := d.agent.Load(); a != nil {
			a.Kill()
		}
		_ = d.listener.Close()
		d.requests.close()
		d.kill()
	})
}

func ignoreCancelled(err error) error {
	if trace.Unwrap(err) == context.Canceled {
		return nil
	}
	return err
}
