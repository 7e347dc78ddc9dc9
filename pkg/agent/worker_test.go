package agent

import (
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
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// scriptedArbiter is an arbiter that returns a fixed decision and records its inputs.
type scriptedArbiter struct {
	decision arbiter.Decision
	answers  []arbiter.Message
	inputs   []arbiter.Input
	controls []arbiter.Message
	ended    []uint64
	owns     bool
	// unreachable lists the agents reported as unreachable.
	unreachable []netip.AddrPort
}

func (s *scriptedArbiter) SetService(time.Time, *view.Service) []arbiter.Message { return nil }
func (s *scriptedArbiter) Packet(_ time.Time, in arbiter.Input) arbiter.Decision {
	s.inputs = append(s.inputs, in)
	return s.decision
}
func (s *scriptedArbiter) Control(_ time.Time, _ netip.AddrPort, m arbiter.Message) []arbiter.Message {
	s.controls = append(s.controls, m)
	return s.answers
}
func (s *scriptedArbiter) Opened(time.Time, uint64) []arbiter.Message { return nil }
func (s *scriptedArbiter) Ended(_ time.Time, flow uint64) []arbiter.Message {
	s.ended = append(s.ended, flow)
	return nil
}
func (s *scriptedArbiter) Tick(time.Time) []arbiter.Message { return nil }
func (s *scriptedArbiter) Drain(time.Time)                  {}
func (s *scriptedArbiter) Owns(uint64) bool                 { return s.owns }
func (s *scriptedArbiter) Unreachable(_ time.Time, agent netip.AddrPort) {
	s.unreachable = append(s.unreachable, agent)
}

// idleAgent is an agent that isn't running; tests call its worker directly.
type idleAgent struct {
	*Agent
	w       *worker
	scope   tally.TestScope
	records *records
	fabric  *net.UDPConn
	peer    *net.UDPConn
}

func newIdleAgent(t testing.TB, a Arbiter) *idleAgent {
	b := &idleAgent{records: &records{}, fabric: listenUDP(t), peer: listenUDP(t), scope: tally.NewTestScope("", nil)}
	deps := Deps{Log: zerolog.Nop(), Refusals: b.records, Metrics: b.scope}
	if a != nil {
		deps.NewArbiter = func(arbiter.Config) Arbiter { return a }
	}
	var err error
	b.Agent, err = New(Config{
		Name:          "agent",
		Incarnation:   1,
		Service:       serviceName,
		PacketAddress: local,
		FabricAddress: b.fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		TargetAddress: netip.MustParseAddrPort("127.0.0.1:1"),
	}, deps)
	require.NoError(t, err)
	t.Cleanup(b.Kill)
	b.inject = func([]byte) bool { return true }
	b.w = newWorker(b.Agent)
	b.SetService(b.view())
	return b
}

func (b *idleAgent) view() *view.Service {
	return &view.Service{Name: serviceName, Revision: 1, Spec: streamSpec(), Targets: []view.Target{
		{ID: "a", Incarnation: 1, Agent: b.addr, Weight: 1, State: view.StateActive, Connections: 1 << 20},
	}}
}

// listPeer applies a view in which the peer is an agent of the service.
func (b *idleAgent) listPeer() {
	v := b.view()
	v.Targets = append(v.Targets, view.Target{
		ID: "b", Incarnation: 1, Agent: b.peerAddr(), Weight: 1, State: view.StateActive, Connections: 1 << 20,
	})
	b.SetService(v)
}

func (b *idleAgent) peerAddr() netip.AddrPort { return b.peer.LocalAddr().(*net.UDPAddr).AddrPort() }

// count returns the sum of the counters with a name and reason.
func (b *idleAgent) count(name, reason string) int64 {
	var sum int64
	for _, c := range b.scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["reason"] == reason {
			sum += c.Value()
		}
	}
	return sum
}

// received returns the next datagram sent to the peer.
func (b *idleAgent) received(t *testing.T) *wire.Datagram {
	require.NoError(t, b.peer.SetReadDeadline(time.Now().Add(10*time.Second)))
	buf := make([]byte, maxDatagram)
	n, err := b.peer.Read(buf)
	require.NoError(t, err)
	m := &wire.Datagram{}
	require.NoError(t, m.UnmarshalVT(buf[:n]))
	return m
}

// opening returns the SYN of a caller's stack.
func opening(t testing.TB, to netip.AddrPort) []byte {
	packets := make(chan []byte, 1)
	s, err := netstack.New(netstack.Config{Output: func(p []byte) {
		select {
		case packets <- append([]byte(nil), p...):
		default:
		}
	}})
	require.NoError(t, err)
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = s.DialTCP(ctx, netip.AddrPortFrom(callerIP.Addr(), 4000), to)
	return <-packets
}

// established turns the SYN into a later segment of the same flow.
func established(syn []byte) []byte {
	b := append([]byte(nil), syn...)
	header.TCP(header.IPv4(b).Payload()).SetFlags(uint8(header.TCPFlagAck))
	return b
}

// envelope returns a valid datagram with a packet.
func (b *idleAgent) envelope(raw []byte) *wire.Datagram {
	info, _ := packet.Parse(raw)
	hash := info.Key.Hash()
	peer := encodeAddr(b.peerAddr())
	return &wire.Datagram{
		Kind: wire.Kind_KIND_FORWARD, Service: serviceName, Revision: 1, Flow: hash, Packet: raw,
		Row: placement.NewTable(b.view()).AppendRow(nil, hash), Sender: peer[:], Balancer: peer[:],
	}
}

func encode(t testing.TB, d *wire.Datagram) []byte {
	b, err := d.MarshalVT()
	require.NoError(t, err)
	return b
}

func TestHostileDatagramsAreCountedAndRefused(t *testing.T) {
	syn := opening(t, serviceIP)
	for name, c := range map[string]struct {
		change  func(d *wire.Datagram)
		reason  string
		refused bool
	}{
		"unknown kind":     {func(d *wire.Datagram) { d.Kind = 99 }, "unknown-kind", false},
		"balancer's kind":  {func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_LEARNED }, "unknown-kind", false},
		"no packet":        {func(d *wire.Datagram) { d.Packet = nil }, "packet", false},
		"cut packet":       {func(d *wire.Datagram) { d.Packet = d.Packet[:30] }, "packet", false},
		"odd row":          {func(d *wire.Datagram) { d.Row = d.Row[:5] }, "foreign", false},
		"long row":         {func(d *wire.Datagram) { d.Row = make([]byte, wire.AddrSize*(maxRow+1)) }, "foreign", false},
		"other flow":       {func(d *wire.Datagram) { d.Flow++ }, "flow-hash", false},
		"other service":    {func(d *wire.Datagram) { d.Service = "reports-svc" }, "wrong-service", true},
		"other address":    {func(d *wire.Datagram) { *d = *newEnvelope(t, d, "203.0.113.99:80") }, "wrong-service", true},
		"foreign sender":   {func(d *wire.Datagram) { d.Kind, d.Sender = wire.Kind_KIND_LOAD, make([]byte, wire.AddrSize) }, "foreign", false},
		"no sender":        {func(d *wire.Datagram) { d.Kind, d.Sender = wire.Kind_KIND_LOAD, nil }, "foreign", false},
		"message, service": {func(d *wire.Datagram) { d.Kind, d.Service = wire.Kind_KIND_ENDED, "reports-svc" }, "wrong-service", false},
	} {
		t.Run(name, func(t *testing.T) {
			a := &scriptedArbiter{decision: arbiter.Decision{Action: arbiter.ActionDeliver}}
			b := newIdleAgent(t, a)
			b.inject = func([]byte) bool { t.Error("delivered"); return true }
			d := b.envelope(syn)
			c.change(d)
			b.w.handle(encode(t, d), b.peerAddr(), time.Now())
			require.Equal(t, int64(1), b.count("agent.bad_datagrams", c.reason))
			require.Empty(t, a.inputs)
			require.Empty(t, a.controls)
			if !c.refused {
				require.Empty(t, b.records.reasons())
				return
			}
			require.Equal(t, []refusal.Reason{refusal.ReasonWrongService}, b.records.reasons())
			buf := make([]byte, 100)
			n, err := b.fabric.Read(buf)
			require.NoError(t, err)
			info, err := packet.Parse(buf[:n])
			require.NoError(t, err)
			require.True(t, info.Reset)
		})
	}
}

func newEnvelope(t *testing.T, d *wire.Datagram, to string) *wire.Datagram {
	raw := opening(t, netip.MustParseAddrPort(to))
	info, err := packet.Parse(raw)
	require.NoError(t, err)
	return &wire.Datagram{Kind: d.Kind, Service: d.Service, Revision: d.Revision, Flow: info.Key.Hash(), Packet: raw, Row: d.Row}
}

// TestOpenFlowOfAnotherServiceIsNotReset covers packets from a balancer with an old view, in which the agent's address
// belonged to another service.
func TestOpenFlowOfAnotherServiceIsNotReset(t *testing.T) {
	b := newIdleAgent(t, &scriptedArbiter{})
	d := b.envelope(established(opening(t, serviceIP)))
	d.Service = "reports-svc"
	b.w.handle(encode(t, d), b.peerAddr(), time.Now())
	require.Equal(t, int64(1), b.count("agent.bad_datagrams", "wrong-service"))
	require.Empty(t, b.records.reasons())
	require.Zero(t, b.count("agent.fabric_packets", ""), "a reset would cut the flow at its owner")
}

func TestTruncatedDatagramsAreCounted(t *testing.T) {
	b := newIdleAgent(t, &scriptedArbiter{})
	whole := encode(t, b.envelope(opening(t, serviceIP)))
	b.w.handle(whole[:len(whole)-1], b.peerAddr(), time.Now())
	b.w.handle([]byte("GET / HTTP/1.1"), b.peerAddr(), time.Now())
	require.Equal(t, int64(2), b.count("agent.bad_datagrams", "truncated"))
}

func TestNewerRevisionIsNotRefused(t *testing.T) {
	b := newIdleAgent(t, &scriptedArbiter{})
	d := newEnvelope(t, b.envelope(opening(t, serviceIP)), "203.0.113.99:80")
	d.Revision = 2
	b.w.handle(encode(t, d), b.peerAddr(), time.Now())
	require.Empty(t, b.records.reasons(), "an agent with an older view must not refuse an address that was just added")
	require.Zero(t, b.count("agent.bad_datagrams", "wrong-service"))
}

func TestViewOfAnotherServiceIsRefused(t *testing.T) {
	b := newIdleAgent(t, &scriptedArbiter{})
	v := b.view()
	v.Name = "reports-svc"
	b.SetService(v)
	require.Nil(t, b.service.Load())
	v.Spec.Targets = serviceName
	b.SetService(v)
	require.NotNil(t, b.service.Load())
}

func TestDecisionsAreCarriedOut(t *testing.T) {
	for kind, action := range map[wire.Kind]arbiter.Action{
		wire.Kind_KIND_FORWARD:  arbiter.ActionForward,
		wire.Kind_KIND_OFFER:    arbiter.ActionOffer,
		wire.Kind_KIND_DECLINED: arbiter.ActionDecline,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			a := &scriptedArbiter{}
			b := newIdleAgent(t, a)
			b.listPeer()
			a.decision = arbiter.Decision{Action: action, To: b.peerAddr(), Position: 3, Bound: 7, Final: true, Load: 5}
			in := b.envelope(opening(t, serviceIP))
			in.Hops = 2
			b.w.handle(encode(t, in), b.peerAddr(), time.Now())
			out := b.received(t)
			require.Equal(t, kind, out.Kind)
			require.Equal(t, in.Packet, out.Packet)
			require.Equal(t, in.Row, out.Row)
			require.Equal(t, in.Balancer, out.Balancer)
			require.Equal(t, []uint32{3, 3, 7, 5}, []uint32{out.Position, out.Hops, out.Bound, out.Load})
			require.True(t, out.Final)
			require.Equal(t, b.self[:], out.Sender)
		})
	}
}

func TestNotificationIsSentWithAction(t *testing.T) {
	a := &scriptedArbiter{}
	b := newIdleAgent(t, a)
	a.decision = arbiter.Decision{Action: arbiter.ActionDrop, Notify: arbiter.Message{
		To: b.peerAddr(), Kind: wire.Kind_KIND_PLACED, Flow: 9, Owner: b.addr, Load: 4, Final: true,
	}}
	b.w.handle(encode(t, b.envelope(opening(t, serviceIP))), b.peerAddr(), time.Now())
	out := b.received(t)
	owner, _ := wire.Addr(out.Owner)
	require.Equal(t, wire.Kind_KIND_PLACED, out.Kind)
	require.Equal(t, b.addr, owner)
	require.Equal(t, serviceName, out.Service)
	require.True(t, out.Final)
}

func TestLongListsAreSplit(t *testing.T) {
	b := newIdleAgent(t, &scriptedArbiter{})
	flows := make([]uint64, 2*maxMessageFlows+1)
	for i := range flows {
		flows[i] = uint64(i)
	}
	b.sendAll([]arbiter.Message{{To: b.peerAddr(), Kind: wire.Kind_KIND_MOVED, Flows: flows}})
	var got []uint64
	for range 3 {
		got = append(got, b.received(t).Flows...)
	}
	require.Equal(t, flows, got)
}

func TestEachBalancerIsNotifiedOfOwnerOnce(t *testing.T) {
	a := &scriptedArbiter{decision: arbiter.Decision{Action: arbiter.ActionDeliver, Accepted: true}}
	b := newIdleAgent(t, a)
	b.listPeer()
	in := b.envelope(opening(t, serviceIP))
	now := time.Now()
	b.w.handle(encode(t, in), b.peerAddr(), now)
	a.decision.Accepted = false
	in.Hops = 1
	for range 3 {
		b.w.handle(encode(t, in), b.peerAddr(), now)
	}
	out := b.received(t)
	require.Equal(t, wire.Kind_KIND_LEARNED, out.Kind)
	require.Equal(t, b.self[:], out.Owner)
	require.Equal(t, in.Flow, out.Flow)
	require.Equal(t, int64(1), b.count("agent.owners_taught", ""))
	b.w.handle(encode(t, in), b.peerAddr(), now.Add(2*notifyInterval))
	require.Equal(t, int64(2), b.count("agent.owners_taught", ""))
}

// TestLostConflictIsSilent checks that an agent ends a flow owned by another agent without sending a packet to its
// caller.
func TestLostConflictIsSilent(t *testing.T) {
	a := &scriptedArbiter{decision: arbiter.Decision{Action: arbiter.ActionDeliver, Accepted: true}, owns: true}
	b := newIdleAgent(t, a)
	b.listPeer()
	syn := opening(t, serviceIP)
	in := b.envelope(syn)
	b.w.handle(encode(t, in), b.peerAddr(), time.Now())
	reset, ok := netstack.Reset(syn)
	require.True(t, ok)
	require.True(t, b.mayLeave(reset))
	cuts := 0
	require.True(t, b.registry.get(in.Flow).serve(func() { cuts++ }))
	a.owns = false
	a.answers = []arbiter.Message{{To: b.addr, Kind: wire.Kind_KIND_ENDED, Flows: []uint64{in.Flow}}}
	peer := encodeAddr(b.peerAddr())
	b.w.handle(encode(t, &wire.Datagram{Kind: wire.Kind_KIND_LOCATED, Service: serviceName, Flow: in.Flow, Sender: peer[:]}), b.peerAddr(), time.Now())
	require.Equal(t, 1, cuts)
	require.Equal(t, []uint64{in.Flow}, a.ended)
	require.Zero(t, b.OpenFlows())
	require.False(t, b.mayLeave(reset), "a reset from here would end the flow at its owner")
	require.Empty(t, b.records.reasons())
}

func TestPlacedFlowWithoutConnectionEnds(t *testing.T) {
	a := &scriptedArbiter{decision: arbiter.Decision{Action: arbiter.ActionDeliver, Accepted: true}, owns: true}
	b := newIdleAgent(t, a)
	now := time.Now()
	in := b.envelope(opening(t, serviceIP))
	b.w.handle(encode(t, in), b.peerAddr(), now)
	b.reap(now.Add(openingTimeout))
	require.Equal(t, 1, b.OpenFlows())
	b.reap(now.Add(openingTimeout + 1))
	require.Zero(t, b.OpenFlows())
	require.Equal(t, []uint64{in.Flow}, a.ended)
	b.reap(time.Now().Add(2 * endedRetention))
	require.Nil(t, b.registry.get(in.Flow))
}

// fixedArbiter is an arbiter that returns a fixed decision without recording its inputs.
type fixedArbiter struct{ scriptedArbiter }

func (k *fixedArbiter) Packet(time.Time, arbiter.Input) arbiter.Decision { return k.decision }

func TestKnownFlowAllocatesNothing(t *testing.T) {
	b := newIdleAgent(t, nil)
	k := &fixedArbiter{}
	syn := opening(t, serviceIP)
	now := time.Now()
	from := b.peerAddr()
	b.w.handle(encode(t, b.envelope(syn)), from, now)
	require.Equal(t, 1, b.OpenFlows())
	later := encode(t, b.envelope(established(syn)))
	require.Zero(t, testing.AllocsPerRun(200, func() { b.w.handle(later, from, now) }), "with the real arbiter")
	require.Positive(t, b.count("agent.decisions", ""), "nothing was decided")
	b.arbiter = k
	for _, d := range []arbiter.Decision{
		{Action: arbiter.ActionDeliver},
		{Action: arbiter.ActionForward, To: from},
		{Action: arbiter.ActionDrop},
	} {
		k.decision = d
		require.Zero(t, testing.AllocsPerRun(200, func() { b.w.handle(later, from, now) }), "action %d", d.Action)
	}
}

func FuzzDatagrams(f *testing.F) {
	b := newIdleAgent(f, nil)
	b.listPeer()
	syn := opening(f, serviceIP)
	for _, raw := range [][]byte{syn, established(syn)} {
		d := b.envelope(raw)
		for _, kind := range []wire.Kind{wire.Kind_KIND_FORWARD, wire.Kind_KIND_OFFER, wire.Kind_KIND_DECLINED, wire.Kind_KIND_MOVED} {
			d.Kind = kind
			d.Flows = []uint64{1, 2}
			f.Add(encode(f, d))
		}
	}
	b.inject = b.stack.Inject
	f.Fuzz(func(t *testing.T, in []byte) {
		b.w.handle(in, b.peerAddr(), time.Now())
		var d wire.Datagram
		if d.UnmarshalVT(in) != nil {
			return
		}
		if placed := b.registry.get(d.Flow); placed != nil && (placed.hash != placed.key.Hash() || !b.service.Load().has(placed.key)) {
			t.Fatal("placed a flow that doesn't belong to the agent's service")
		}
	})
}

// BenchmarkKnownFlow measures handling of a known flow's packet from its datagram to the stack's input, without
// sockets.
func BenchmarkKnownFlow(b *testing.B) {
	const flows = 64
	a := newIdleAgent(b, nil)
	now := time.Now()
	from := a.peerAddr()
	var later [flows][]byte
	for i := range later {
		syn := opening(b, serviceIP)
		header.TCP(header.IPv4(syn).Payload()).SetSourcePort(uint16(5000 + i))
		a.w.handle(encode(b, a.envelope(syn)), from, now)
		later[i] = encode(b, a.envelope(established(syn)))
	}
	for _, workers := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			b.ResetTimer()
			var g sync.WaitGroup
			for n := range workers {
				g.Go(func() {
					w := newWorker(a.Agent)
					for i := n; i < b.N; i += workers {
						w.handle(later[i%flows], from, now)
					}
				})
			}
			g.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
		})
	}
}
