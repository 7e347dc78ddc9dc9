package capacity

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/agent"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// concurrentDials is the number of flows that are opened concurrently.
	concurrentDials = 32
	dialTimeout     = 20 * time.Second
)

var callerAddr = netip.MustParseAddrPort("198.51.100.7:0")

// agentBench is one agent with its target, and a caller's network stack whose packets are forwarded to the agent.
type agentBench struct {
	caller *netstack.Stack
	fabric *net.UDPConn
	source *net.UDPConn
	target net.Listener
	table  *placement.Table
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// newAgentBench starts the bench. Buffer is the buffer size of the caller's stack (0 selects its default); serve is
// called with each connection that the target accepts and may be nil.
func newAgentBench(ctx context.Context, buffer int, serve func(net.Conn)) (*agentBench, error) {
	x := &agentBench{}
	ctx, x.stop = context.WithCancel(ctx)
	if err := x.start(ctx, buffer, serve); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

func (x *agentBench) start(ctx context.Context, buffer int, serve func(net.Conn)) error {
	var err error
	for _, c := range []**net.UDPConn{&x.fabric, &x.source} {
		if *c, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback)); err != nil {
			return trace.Wrap(err)
		}
		_ = (*c).SetReadBuffer(agentBuffer)
	}
	if x.target, err = net.Listen("tcp", loopback.String()); err != nil {
		return trace.Wrap(err)
	}
	x.done.Go(func() { x.accept(serve) })
	if x.caller, err = netstack.New(netstack.Config{Output: x.forward, Buffer: buffer}); err != nil {
		return trace.Wrap(err)
	}
	a, err := agent.New(agent.Config{
		Name: "agent", Incarnation: 1, Service: serviceName(0), PacketAddress: loopback,
		FabricAddress: addrOf(x.fabric), TargetAddress: netip.MustParseAddrPort(x.target.Addr().String()), Linger: time.Millisecond,
	}, agent.Deps{Log: zerolog.Nop()})
	if err != nil {
		return trace.Wrap(err)
	}
	s := agentService(a.PacketAddr())
	a.SetService(s)
	x.table = placement.NewTable(s)
	x.done.Go(func() { _ = a.Run(ctx) })
	x.done.Go(x.deliver)
	return nil
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// agentService is a service with one target.
func agentService(addr netip.AddrPort) *view.Service {
	a := serviceAddress(0)
	return &view.Service{
		Name: serviceName(0), Revision: 1,
		Spec: resource.ServiceSpec{
			Mode: resource.ModeStream, Preference: resource.PreferFlows,
			Addresses: []resource.Address{{IP: a.Addr().String(), Port: a.Port()}},
		},
		Targets: []view.Target{{ID: "t", Incarnation: 1, Agent: addr, Weight: 1, State: view.StateActive, Connections: 1 << 20}},
	}
}

// accept accepts the target's connections until its listener is closed.
func (x *agentBench) accept(serve func(net.Conn)) {
	for {
		c, err := x.target.Accept()
		if err != nil {
			return
		}
		x.addConn(c)
		if serve != nil {
			go serve(c)
		}
	}
}

func (x *agentBench) addConn(c net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, c)
}

// forward acts as the balancer: it sends the caller's packet to the first agent of its row.
func (x *agentBench) forward(raw []byte) {
	info, err := packet.Parse(raw)
	if err != nil {
		return
	}
	hash := info.Key.Hash()
	balancer := wire.AppendAddr(nil, addrOf(x.source))
	d := wire.Datagram{
		Kind: wire.Kind_KIND_FORWARD, Service: serviceName(0), Revision: 1, Flow: hash,
		Row: x.table.AppendRow(nil, hash), Packet: raw, Sender: balancer, Balancer: balancer,
	}
	b, err := d.MarshalVT()
	if err != nil {
		return
	}
	_, _ = x.source.WriteToUDPAddrPort(b, x.table.FirstAgent(hash))
}

// deliver passes the agent's packets to the caller's stack.
func (x *agentBench) deliver() {
	b := make([]byte, 1<<16)
	for {
		n, err := x.fabric.Read(b)
		if err != nil {
			return
		}
		x.caller.Inject(b[:n])
	}
}

func (x *agentBench) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return x.caller.DialTCP(ctx, callerAddr, serviceAddress(0))
}

// openFlows opens count flows, concurrentDials at a time, and passes each connection to keep.
func openFlows(ctx context.Context, count int, dial func(context.Context) (net.Conn, error), keep func(net.Conn)) error {
	var g errgroup.Group
	g.SetLimit(concurrentDials)
	for range count {
		g.Go(func() error {
			c, err := dial(ctx)
			if err == nil {
				keep(c)
			}
			return err
		})
	}
	return trace.Wrap(g.Wait())
}

func (x *agentBench) close() {
	x.mu.Lock()
	conns := x.conns
	x.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	x.stop()
	if x.target != nil {
		_ = x.target.Close()
	}
	for _, c := range []*net.UDPConn{x.fabric, x.source} {
		if c != nil {
			_ = c.Close()
		}
	}
	x.done.Wait()
	if x.caller != nil {
		x.caller.Close()
	}
}
