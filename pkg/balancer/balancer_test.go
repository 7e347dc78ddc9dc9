package balancer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

var (
	loopback    = netip.MustParseAddrPort("127.0.0.1:0")
	routeAddr   = netip.MustParseAddrPort("198.51.100.1:80")
	reportsAddr = netip.MustParseAddrPort("198.51.100.2:80")
	start       = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
)

// records is a refusal.Recorder that stores records in memory.
type records struct {
	mu  sync.Mutex
	all []refusal.Record
}

func (r *records) Record(rec refusal.Record) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rec)
	return "r1"
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

type harness struct {
	b       *Balancer
	w       *worker
	log     *bytes.Buffer
	records *records
	scope   tally.TestScope
}

func newHarness(t testing.TB, edit func(*Config, *Deps)) *harness {
	x := &harness{log: &bytes.Buffer{}, records: &records{}, scope: tally.NewTestScope("", nil)}
	cfg := Config{Name: "b1", Listen: loopback, Fabric: netip.MustParseAddrPort("127.0.0.1:9"), CachedFlows: 4096}
	deps := Deps{
		Log:      zerolog.New(x.log),
		Metrics:  x.scope,
		Refusals: x.records,
		Now:      func() time.Time { return start },
	}
	if edit != nil {
		edit(&cfg, &deps)
	}
	b, err := New(cfg, deps)
	require.NoError(t, err)
	t.Cleanup(b.Kill)
	x.b, x.w = b, newWorker(b)
	return x
}

func (x *harness) count(name string) int64 {
	return x.scope.Snapshot().Counters()["balancer."+name+"+"].Value()
}

func agentAddr(service, i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.%d.%d:7000", service, i+1))
}

func serviceOf(name string, number int, addr netip.AddrPort, targets int, protocol resource.Protocol) *view.Service {
	s := &view.Service{Name: name, Revision: 3, Spec: resource.ServiceSpec{
		Addresses: []resource.Address{{IP: addr.Addr().String(), Port: addr.Port(), Protocol: protocol}},
	}}
	for i := range targets {
		s.Targets = append(s.Targets, view.Target{
			ID: fmt.Sprintf("%s-%d", name, i), Agent: agentAddr(number, i), Weight: 1, State: view.StateActive, Connections: 2000,
		})
	}
	return s
}

func testView() *view.View {
	return &view.View{Revision: 3, Services: []*view.Service{
		serviceOf("reports-svc", 2, reportsAddr, 4, resource.ProtocolTCP),
		serviceOf("route-svc", 1, routeAddr, 7, ""),
	}}
}

func tcpPacket(port uint16, to netip.AddrPort, flags header.TCPFlags) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	ip := header.IPv4(b)
	src := tcpip.AddrFrom4([4]byte{10, 0, 0, 1})
	dst := tcpip.AddrFrom4(to.Addr().As4())
	ip.Encode(&header.IPv4Fields{TotalLength: uint16(len(b)), TTL: 64, Protocol: flow.ProtocolTCP, SrcAddr: src, DstAddr: dst})
	ip.SetChecksum(^ip.CalculateChecksum())
	header.TCP(ip.Payload()).Encode(&header.TCPFields{
		SrcPort: port, DstPort: to.Port(), DataOffset: header.TCPMinimumSize, Flags: flags, SeqNum: 100,
	})
	return b
}

func hashOf(t testing.TB, p []byte) uint64 {
	info, err := packet.Parse(p)
	require.NoError(t, err)
	return info.Key.Hash()
}

func decode(t testing.TB, b []byte) *wire.Datagram {
	var m wire.Datagram
	require.NoError(t, m.UnmarshalVT(b))
	return &m
}

func learnedMessage(t testing.TB, service string, flowHash uint64, owner netip.AddrPort) []byte {
	m := wire.Datagram{Kind: wire.Kind_KIND_LEARNED, Service: service, Flow: flowHash, Owner: wire.AppendAddr(nil, owner)}
	b, err := m.MarshalVT()
	require.NoError(t, err)
	return b
}

func TestRoutesToFirstOfRow(t *testing.T) {
	x := newHarness(t, nil)
	require.True(t, x.b.SetView(testView()))
	for port := uint16(1000); port < 1100; port++ {
		p := tcpPacket(port, routeAddr, header.TCPFlagSyn)
		to, out := x.w.handle(p, loopback, start)
		m := decode(t, out)
		first, ok := wire.RowAddr(m.Row, 0)
		require.True(t, ok)
		require.Equal(t, first, to)
		require.Equal(t, wire.Kind_KIND_FORWARD, m.Kind)
		require.Equal(t, "route-svc", m.Service)
		require.EqualValues(t, 3, m.Revision)
		require.Equal(t, hashOf(t, p), m.Flow)
		require.Equal(t, p, m.Packet)
		require.Equal(t, wire.AppendAddr(nil, x.b.Addr()), m.Balancer)
		require.Equal(t, byte(1), to.Addr().As4()[2], "an agent of route-svc")
	}
}

func TestSameRowOnEveryBalancer(t *testing.T) {
	x, y := newHarness(t, nil), newHarness(t, nil)
	x.b.SetView(testView())
	y.b.SetView(testView())
	for port := uint16(1000); port < 1100; port++ {
		p := tcpPacket(port, reportsAddr, header.TCPFlagAck)
		_, a := x.w.handle(p, loopback, start)
		_, b := y.w.handle(p, loopback, start)
		require.Equal(t, decode(t, a).Row, decode(t, b).Row)
	}
}

func TestOneLogLineForEachNewFlow(t *testing.T) {
	x := newHarness(t, nil)
	x.b.SetView(testView())
	p := tcpPacket(1000, routeAddr, header.TCPFlagSyn)
	x.w.handle(p, loopback, start)
	x.w.handle(p, loopback, start.Add(time.Second))
	for range 10 {
		x.w.handle(tcpPacket(1000, routeAddr, header.TCPFlagAck), loopback, start)
	}
	require.Equal(t, 1, bytes.Count(x.log.Bytes(), []byte("\n")), x.log.String())
	for _, field := range []string{`"op":"route"`, `"service":"route-svc"`, `"flow":"`, `"first":"127.0.1.`, `"row":4`, `"revision":3`} {
		require.Contains(t, x.log.String(), field)
	}
	x.w.handle(p, loopback, start.Add(time.Minute))
	require.Equal(t, 2, bytes.Count(x.log.Bytes(), []byte("\n")), "an opening packet after the window is a new flow")
}

func TestLearnedOwner(t *testing.T) {
	x := newHarness(t, nil)
	x.b.SetView(testView())
	p := tcpPacket(1000, routeAddr, header.TCPFlagAck)
	first, _ := x.w.handle(p, loopback, start)
	owner := agentAddr(1, 0)
	if owner == first {
		owner = agentAddr(1, 1)
	}
	x.w.handle(learnedMessage(t, "route-svc", hashOf(t, p), owner), first, start)

	to, out := x.w.handle(p, loopback, start)
	require.Equal(t, owner, to)
	m := decode(t, out)
	if at, ok := wire.RowAddr(m.Row, int(m.Position)); ok {
		require.Equal(t, owner, at)
	}
	to, _ = x.w.handle(tcpPacket(1000, routeAddr, header.TCPFlagSyn), loopback, start)
	require.Equal(t, first, to, "an opening packet goes to the first of the row")
	to, _ = x.w.handle(p, loopback, start)
	require.Equal(t, first, to, "an opening packet removes the learned owner")
}

// udpPacket turns a TCP packet into a UDP one of the same addresses and ports.
func udpPacket(port uint16, to netip.AddrPort) []byte {
	b := tcpPacket(port, to, 0)
	ip := header.IPv4(b)
	header.UDP(ip.Payload()).Encode(&header.UDPFields{SrcPort: port, DstPort: to.Port(), Length: uint16(len(ip.Payload()))})
	b[9] = flow.ProtocolUDP
	ip.SetChecksum(0)
	ip.SetChecksum(^ip.CalculateChecksum())
	return b
}

func TestLearnedOwnerOfUDPFlow(t *testing.T) {
	x := newHarness(t, nil)
	v := testView()
	v.Services[1] = serviceOf("route-svc", 1, routeAddr, 7, resource.ProtocolUDP)
	x.b.SetView(v)
	p := udpPacket(1000, routeAddr)
	first, _ := x.w.handle(p, loopback, start)
	x.w.handle(p, loopback, start)
	owner := agentAddr(1, 0)
	if owner == first {
		owner = agentAddr(1, 1)
	}
	x.w.handle(learnedMessage(t, "route-svc", hashOf(t, p), owner), first, start)
	for range 3 {
		to, _ := x.w.handle(p, loopback, start)
		require.Equal(t, owner, to)
	}
	require.Equal(t, 1, bytes.Count(x.log.Bytes(), []byte("\n")), "one line for the flow, not for each packet")
}

func TestLearnedOwnerEnds(t *testing.T) {
	without := testView()
	without.Services[1].Targets = without.Services[1].Targets[1:]
	tests := map[string]struct {
		change func(x *harness)
		at     time.Time
	}{
		"owner left the view":  {func(x *harness) { x.b.SetView(without) }, start},
		"time is over":         {func(*harness) {}, start.Add(DefaultCacheTime + time.Second)},
		"owner is unreachable": {func(x *harness) { x.b.agentUnreachable(agentAddr(1, 0)) }, start},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := newHarness(t, nil)
			x.b.SetView(testView())
			for port := uint16(1000); port < 1020; port++ {
				p := tcpPacket(port, routeAddr, header.TCPFlagAck)
				x.w.handle(learnedMessage(t, "route-svc", hashOf(t, p), agentAddr(1, 0)), agentAddr(1, 3), start)
				tt.change(x)
				_, out := x.w.handle(p, loopback, tt.at)
				require.Zero(t, decode(t, out).Position)
			}
			require.Zero(t, x.count("cache_hits"))
		})
	}
}

func TestHostileDatagrams(t *testing.T) {
	x := newHarness(t, nil)
	x.b.SetView(testView())
	p := tcpPacket(1000, routeAddr, header.TCPFlagAck)
	hash := hashOf(t, p)
	agent, foreign := agentAddr(1, 0), netip.MustParseAddrPort("127.9.9.9:1")
	forward, err := (&wire.Datagram{Kind: wire.Kind_KIND_FORWARD, Service: "route-svc", Packet: p}).MarshalVT()
	require.NoError(t, err)
	tests := map[string]struct {
		in   []byte
		from netip.AddrPort
		name string
	}{
		"empty":                    {nil, foreign, "foreign_datagrams"},
		"text":                     {[]byte("GET / HTTP/1.1"), foreign, "malformed_packets"},
		"truncated message":        {learnedMessage(t, "route-svc", hash, agent)[:20], agent, "foreign_datagrams"},
		"truncated packet":         {p[:30], foreign, "malformed_packets"},
		"learned by a foreigner":   {learnedMessage(t, "route-svc", hash, agent), foreign, "foreign_datagrams"},
		"learned by other service": {learnedMessage(t, "route-svc", hash, agent), agentAddr(2, 0), "foreign_datagrams"},
		"owner of other service":   {learnedMessage(t, "route-svc", hash, agentAddr(2, 0)), agent, "foreign_datagrams"},
		"unknown service":          {learnedMessage(t, "no-svc", hash, agent), agent, "foreign_datagrams"},
		"envelope for an agent":    {forward, agent, "foreign_datagrams"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := x.count(tt.name)
			_, out := x.w.handle(tt.in, tt.from, start)
			require.Nil(t, out)
			require.Equal(t, before+1, x.count(tt.name))
		})
	}
	_, out := x.w.handle(p, loopback, start)
	require.Zero(t, decode(t, out).Position, "nothing was learned")
}

func TestRefusals(t *testing.T) {
	empty := testView()
	empty.Services[1].Targets = nil
	tests := map[string]struct {
		view *view.View
		to   netip.AddrPort
		want refusal.Reason
	}{
		"no view":         {nil, routeAddr, refusal.ReasonNoConfiguration},
		"no revision":     {&view.View{}, routeAddr, refusal.ReasonNoConfiguration},
		"unknown address": {testView(), netip.MustParseAddrPort("198.51.100.9:80"), refusal.ReasonUnknownAddress},
		"unknown port":    {testView(), netip.MustParseAddrPort("198.51.100.1:81"), refusal.ReasonUnknownAddress},
		"no target":       {empty, routeAddr, refusal.ReasonNoTarget},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := newHarness(t, nil)
			x.b.SetView(tt.view)
			later := start.Add(DefaultStartTime)
			p := tcpPacket(1000, tt.to, header.TCPFlagSyn)
			to, out := x.w.handle(p, loopback, later)
			require.Equal(t, x.b.cfg.Fabric, to)
			answer, err := packet.Parse(out)
			require.NoError(t, err)
			require.True(t, answer.Reset)
			require.Equal(t, netip.MustParseAddrPort("10.0.0.1:1000"), answer.Key.Destination)
			require.Equal(t, tt.to, answer.Key.Source)
			require.Equal(t, []refusal.Reason{tt.want}, x.records.reasons())
			require.Equal(t, refusal.RunNo, x.records.all[0].Run)

			_, out = x.w.handle(tcpPacket(1000, tt.to, header.TCPFlagRst), loopback, later)
			require.Nil(t, out, "a reset is not answered")
			_, out = x.w.handle(tcpPacket(1000, tt.to, header.TCPFlagAck), loopback, later)
			require.Nil(t, out, "an open flow is never reset")
			require.Len(t, x.records.all, 1)
		})
	}
}

// TestStartingBalancerDropsUnroutablePackets guards against a newly started balancer without configuration that
// refuses opening packets or resets established flows.
func TestStartingBalancerDropsUnroutablePackets(t *testing.T) {
	x := newHarness(t, nil)
	for _, flags := range []header.TCPFlags{header.TCPFlagSyn, header.TCPFlagAck} {
		_, out := x.w.handle(tcpPacket(1000, routeAddr, flags), loopback, start.Add(DefaultStartTime-1))
		require.Nil(t, out)
	}
	require.Empty(t, x.records.all)
	require.EqualValues(t, 2, x.count("unroutable_packets_dropped"))
}

func TestRefusalsAboveRateAreMerged(t *testing.T) {
	x := newHarness(t, func(c *Config, _ *Deps) { c.RefusalRate = 5 })
	x.b.SetView(testView())
	nowhere := netip.MustParseAddrPort("198.51.100.9:80")
	answered := 0
	for port := uint16(1000); port < 1100; port++ {
		if _, out := x.w.handle(tcpPacket(port, nowhere, header.TCPFlagSyn), loopback, start); out != nil {
			answered++
		}
	}
	x.b.reportOverflow(start)
	require.Equal(t, 5, answered)
	require.Len(t, x.records.all, 6)
	require.EqualValues(t, 95, x.records.all[5].Count)
}

func TestLowerRevisionIsIgnored(t *testing.T) {
	x := newHarness(t, nil)
	require.True(t, x.b.SetView(testView()))
	require.False(t, x.b.SetView(&view.View{Revision: 2}))
	_, out := x.w.handle(tcpPacket(1000, routeAddr, header.TCPFlagSyn), loopback, start)
	require.Equal(t, "route-svc", decode(t, out).Service)
}

func TestConfigReportsAllMistakes(t *testing.T) {
	_, err := New(Config{Workers: -1, CachedFlows: -1}, Deps{})
	for _, part := range []string{"name", "listen", "fabric", "workers", "negative"} {
		require.ErrorContains(t, err, part)
	}
}

// TestUnreachableAgent sends to a closed port and expects OnUnreachable to report the agent.
func TestUnreachableAgent(t *testing.T) {
	gone, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	require.NoError(t, err)
	agent := gone.LocalAddr().(*net.UDPAddr).AddrPort()
	require.NoError(t, gone.Close())
	reported := make(chan netip.AddrPort, 1)
	x := newHarness(t, func(_ *Config, d *Deps) {
		d.OnUnreachable = func(a netip.AddrPort) { reported <- a }
	})
	v := testView()
	v.Services[1].Targets = v.Services[1].Targets[:1]
	v.Services[1].Targets[0].Agent = agent
	x.b.SetView(v)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = x.b.Run(ctx) }()
	caller, err := net.Dial("udp4", x.b.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	_, err = caller.Write(tcpPacket(1000, routeAddr, header.TCPFlagSyn))
	require.NoError(t, err)
	require.Equal(t, agent, <-reported)
}

// TestRunEndsAfterQuietTime forwards a packet over real sockets and then ends Run's context.
func TestRunEndsAfterQuietTime(t *testing.T) {
	agent, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	require.NoError(t, err)
	defer agent.Close()
	x := newHarness(t, func(c *Config, d *Deps) {
		c.QuietTime = 10 * time.Millisecond
		d.Now = time.Now
	})
	v := testView()
	v.Services[1].Targets = v.Services[1].Targets[:1]
	v.Services[1].Targets[0].Agent = agent.LocalAddr().(*net.UDPAddr).AddrPort()
	x.b.SetView(v)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- x.b.Run(ctx) }()
	caller, err := net.Dial("udp4", x.b.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	p := tcpPacket(1000, routeAddr, header.TCPFlagSyn)
	_, err = caller.Write(p)
	require.NoError(t, err)
	b := make([]byte, 2000)
	n, from, err := agent.ReadFromUDPAddrPort(b)
	require.NoError(t, err)
	require.Equal(t, x.b.Addr(), from)
	require.Equal(t, p, decode(t, b[:n]).Packet)
	cancel()
	require.NoError(t, <-ended)
}

func FuzzHandle(f *testing.F) {
	p := tcpPacket(1000, routeAddr, header.TCPFlagSyn)
	f.Add(p)
	f.Add(learnedMessage(f, "route-svc", 1, agentAddr(1, 0)))
	x := newHarness(f, func(_ *Config, d *Deps) { d.Log = zerolog.Nop() })
	x.b.SetView(testView())
	f.Fuzz(func(t *testing.T, in []byte) {
		to, out := x.w.handle(in, agentAddr(1, 0), start)
		if out == nil {
			return
		}
		require.True(t, to.IsValid())
	})
}
