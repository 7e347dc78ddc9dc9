package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/errqueue"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// Agent is one agent and its sockets.
type Agent struct {
	cfg       Config
	deps      Deps
	metrics   metrics
	conn      *net.UDPConn
	addr      netip.AddrPort
	self      encodedAddr
	fabric    *fabric
	stack     *netstack.Stack
	inject    func(packet []byte) bool
	arbiter   Arbiter
	registry  *registry
	refused   *recentFlows
	counts    flowCounts
	probe     probe
	announced atomic.Pointer[string]
	service   atomic.Pointer[service]
	senders   atomic.Pointer[senders]
	held      held
	draining  atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc
	stop      sync.Once
	flowsMu   sync.Mutex
	flows     sync.WaitGroup
}

// New opens the sockets of an agent. Run starts it; Kill closes the sockets.
func New(cfg Config, deps Deps) (*Agent, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err, "agent %q", cfg.Name)
	}
	a := &Agent{cfg: cfg, deps: deps.withDefaults(), registry: newRegistry(), refused: newRecentFlows()}
	a.metrics = newMetrics(a.deps.Metrics)
	a.probe = probe{address: cfg.TargetAddress.String(), timeout: cfg.DialTimeout}
	a.announced.Store(&cfg.Service)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if err := a.open(); err != nil {
		a.Kill()
		return nil, trace.Wrap(err, "agent %q", cfg.Name)
	}
	a.arbiter = a.deps.NewArbiter(arbiter.Config{
		Self:        a.addr,
		Incarnation: cfg.Incarnation,
		Connections: cfg.Connections,
	})
	a.inject = a.stack.Inject
	a.stack.AcceptTCP(a.acceptTCP)
	a.stack.HandleUDP(a.acceptUDP)
	return a, nil
}

func (a *Agent) open() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.cfg.PacketAddress))
	if err != nil {
		return trace.Wrap(err, "listen for packets at %v", a.cfg.PacketAddress)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	errqueue.Enable(conn)
	a.conn = conn
	a.addr = unmap(conn.LocalAddr().(*net.UDPAddr).AddrPort())
	a.self = encodeAddr(a.addr)
	if a.fabric, err = newFabric(a.cfg.FabricAddress, a.cfg.MTU, a.mayLeave, &a.metrics); err != nil {
		return trace.Wrap(err)
	}
	a.stack, err = netstack.New(netstack.Config{MTU: a.cfg.MTU, Output: a.fabric.output, Flush: a.fabric.flush})
	return trace.Wrap(err)
}

// PacketAddr returns the address of the packet socket.
func (a *Agent) PacketAddr() netip.AddrPort { return a.addr }

// OpenFlows returns the number of flows that the agent owns and that have not ended.
func (a *Agent) OpenFlows() int { return a.registry.open() }

// SetService applies a snapshot of the agent's service; nil removes the service. A service other than the one that the
// target announced is rejected and leaves the agent without a service.
func (a *Agent) SetService(s *view.Service) {
	if s != nil && !a.isAnnounced(s) {
		a.metrics.viewRefused.Inc(1)
		a.deps.Log.Warn().Str("op", "set-service").Str("service", s.Name).Str("reason", "target announced another service").Send()
		s = nil
	}
	now := a.deps.Now()
	a.senders.Store(a.senders.Load().next(s, now))
	if s == nil {
		a.service.Store(nil)
	}
	// The arbiter gets the view before the packet path does, since it can't place a flow without a view.
	messages := a.arbiter.SetService(now, s)
	a.service.Store(newService(s))
	a.sendAll(messages)
	a.handleHeld(now)
}

// SetAnnounced replaces the service name that the target announced; the next SetService checks against it.
func (a *Agent) SetAnnounced(name string) { a.announced.Store(&name) }

func (a *Agent) isAnnounced(s *view.Service) bool {
	name := *a.announced.Load()
	if name == "" {
		return true
	}
	if s.Spec.Targets != "" {
		return s.Spec.Targets == name
	}
	return s.Name == name
}

// Run handles packets until ctx ends or the agent is killed, then closes the agent's sockets and connections. Call
// Drain first to end flows gracefully.
func (a *Agent) Run(ctx context.Context) error {
	defer a.Kill()
	stop := context.AfterFunc(ctx, a.Kill)
	defer stop()
	var g errgroup.Group
	for range a.cfg.Workers {
		g.Go(func() error { return newWorker(a).run() })
	}
	g.Go(func() error { return a.tick() })
	a.deps.Log.Info().Str("op", "start").Str("packet_address", a.addr.String()).Send()
	err := g.Wait()
	a.Kill()
	a.flows.Wait()
	return trace.Wrap(err)
}

// Kill closes every socket and connection immediately and sends nothing to callers, as a crash of the VM would.
func (a *Agent) Kill() {
	a.stop.Do(func() {
		a.flowsMu.Lock()
		a.cancel()
		a.flowsMu.Unlock()
		if a.fabric != nil {
			a.fabric.close()
		}
		if a.conn != nil {
			_ = a.conn.Close()
		}
		a.registry.abortAll()
		if a.stack != nil {
			a.stack.Close()
		}
	})
}

func (a *Agent) tick() error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return nil
		case <-t.C:
			now := a.deps.Now()
			a.sendAll(a.arbiter.Tick(now))
			a.reap(now)
		}
	}
}

// reap ends placed flows that never got a connection, cuts flows that another agent owns, and removes flows whose
// retention is over.
func (a *Agent) reap(now time.Time) {
	late, lost := a.registry.reap(now, a.arbiter.Owns)
	for _, f := range late {
		a.metrics.neverOpened.Inc(1)
		a.end(f)
	}
	for _, f := range lost {
		a.lost(f)
	}
	a.metrics.openFlows.Update(float64(a.registry.open()))
}

// end marks a flow as ended and reports that to the arbiter once.
func (a *Agent) end(f *openFlow) {
	if !f.end(a.deps.Now()) {
		return
	}
	a.registry.ended()
	a.sendAll(a.arbiter.Ended(a.deps.Now(), f.hash))
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
