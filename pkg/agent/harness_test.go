package agent

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const serviceName = "route-svc"

var (
	local      = netip.MustParseAddrPort("127.0.0.1:0")
	callerIP   = netip.MustParseAddrPort("198.51.100.7:0")
	callerIP6  = netip.MustParseAddrPort("[2001:db8::7]:0")
	serviceIP  = netip.MustParseAddrPort("203.0.113.10:80")
	serviceIP6 = netip.MustParseAddrPort("[2001:db8:f::10]:80")
	serviceUDP = netip.MustParseAddrPort("203.0.113.10:53")
)

// records stores refusal records in memory.
type records struct {
	mu  sync.Mutex
	all []refusal.Record
}

func (r *records) Record(rec refusal.Record) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rec)
	return "record"
}

func (r *records) reasons() []refusal.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []refusal.Reason
	for _, rec := range r.all {
		out = append(out, rec.Reason)
	}
	return out
}

// harness connects a caller's stack, a fabric and agents by a minimal balancer that sends to the first agent of each
// row.
type harness struct {
	// drains is the number of agents that have begun to drain and take no new flow.
	drains         atomic.Int32
	t              testing.TB
	caller         *netstack.Stack
	fabric         *net.UDPConn
	source         *net.UDPConn
	agents         []*Agent
	records        *records
	mu             sync.Mutex
	table          *placement.Table
	claimedService string
	// shouldDrop selects packets to the caller to drop; onCallerPacket is called with each packet from the caller. Both
	// may be nil.
	shouldDrop     func(raw []byte) bool
	onCallerPacket func(info packet.Info)
}

func newHarness(t testing.TB, spec resource.ServiceSpec, targets ...net.Addr) *harness {
	l := &harness{t: t, records: &records{}, claimedService: serviceName}
	l.fabric = listenUDP(t)
	l.source = listenUDP(t)
	var err error
	l.caller, err = netstack.New(netstack.Config{Output: l.forward})
	require.NoError(t, err)
	t.Cleanup(l.caller.Close)
	for _, target := range targets {
		l.start(netip.MustParseAddrPort(target.String()))
	}
	go l.deliver()
	l.setService(spec)
	return l
}

func listenUDP(t testing.TB) *net.UDPConn {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	require.NoError(t, err)
	require.NoError(t, c.SetReadBuffer(socketBuffer))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (l *harness) start(target netip.AddrPort) *Agent {
	return l.startWith(Config{TargetAddress: target}, Deps{Log: zerolog.Nop(), Refusals: l.records, OnDraining: func() { l.drains.Add(1) }})
}

func (l *harness) startWith(c Config, d Deps) *Agent {
	c.Name = "agent"
	c.Incarnation = 1
	c.Service = serviceName
	c.PacketAddress = local
	c.FabricAddress = l.fabric.LocalAddr().(*net.UDPAddr).AddrPort()
	c.Linger = time.Millisecond
	a, err := New(c, d)
	require.NoError(l.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	l.t.Cleanup(func() {
		cancel()
		require.NoError(l.t, <-done)
	})
	l.agents = append(l.agents, a)
	return a
}

func (l *harness) setService(spec resource.ServiceSpec) {
	v := &view.Service{Name: serviceName, Revision: 1, Spec: spec}
	for i, a := range l.agents {
		v.Targets = append(v.Targets, view.Target{
			ID:          string(rune('a' + i)),
			Incarnation: 1,
			Agent:       a.PacketAddr(),
			Weight:      1,
			State:       view.StateActive,
			Connections: 1 << 20,
		})
	}
	for _, a := range l.agents {
		a.SetService(v)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = placement.NewTable(v)
}

// setServiceName sets the service name in the balancer's datagrams.
func (l *harness) setServiceName(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claimedService = service
}

// forward acts as the balancer: it sends each packet of the caller to the first agent of its row.
func (l *harness) forward(raw []byte) {
	info, err := packet.Parse(raw)
	if err != nil {
		return
	}
	l.mu.Lock()
	hash, name := info.Key.Hash(), l.claimedService
	row := l.table.AppendRow(nil, hash)
	first := l.table.FirstAgent(hash)
	if l.onCallerPacket != nil {
		l.onCallerPacket(info)
	}
	l.mu.Unlock()
	balancer := wire.AppendAddr(nil, l.source.LocalAddr().(*net.UDPAddr).AddrPort())
	d := wire.Datagram{
		Kind: wire.Kind_KIND_FORWARD, Service: name, Revision: 1, Flow: hash, Row: row,
		Packet: raw, Sender: balancer, Balancer: balancer,
	}
	b, err := d.MarshalVT()
	if err != nil {
		return
	}
	_, _ = l.source.WriteToUDPAddrPort(b, first)
}

// deliver injects the agents' packets into the caller's stack.
func (l *harness) deliver() {
	b := make([]byte, maxDatagram)
	for {
		n, err := l.fabric.Read(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		lost := l.shouldDrop != nil && l.shouldDrop(b[:n])
		l.mu.Unlock()
		if !lost {
			l.caller.Inject(b[:n])
		}
	}
}

func (l *harness) dial(to netip.AddrPort) (net.Conn, error) {
	from := callerIP
	if to.Addr().Is6() {
		from = callerIP6
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return l.caller.DialTCP(ctx, from, to)
}

// owner returns the agent that owns the flow of a connection; nil if none does.
func (l *harness) owner(conn net.Conn) *Agent {
	key := flow.Key{
		Source:      conn.LocalAddr().(*net.TCPAddr).AddrPort(),
		Destination: conn.RemoteAddr().(*net.TCPAddr).AddrPort(),
		Protocol:    flow.ProtocolTCP,
	}
	for _, a := range l.agents {
		if a.arbiter.Owns(key.Hash()) {
			return a
		}
	}
	return nil
}

func (l *harness) mustDial(to netip.AddrPort) net.Conn {
	conn, err := l.dial(to)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(l.t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return conn
}

func streamSpec() resource.ServiceSpec {
	return resource.ServiceSpec{
		Mode:       resource.ModeStream,
		Preference: resource.PreferFlows,
		Addresses: []resource.Address{
			{IP: serviceIP.Addr().String(), Port: serviceIP.Port()},
			{IP: serviceIP6.Addr().String(), Port: serviceIP6.Port()},
			{IP: serviceUDP.Addr().String(), Port: serviceUDP.Port(), Protocol: resource.ProtocolUDP},
		},
	}
}

// listenTCP runs serve for each connection until the test ends.
func listenTCP(t testing.TB, serve func(*net.TCPConn)) net.Listener {
	l, err := net.Listen("tcp", local.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l
}

func echo(c *net.TCPConn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

func eventually(t testing.TB, condition func() bool, text string) {
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond, text)
}
