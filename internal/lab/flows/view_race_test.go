package flows

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/agent"
	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// slowArbiter blocks in SetService until proceed is closed.
type slowArbiter struct {
	agent.Arbiter
	adopting chan struct{}
	proceed  chan struct{}
}

func (a *slowArbiter) SetService(now time.Time, s *view.Service) []arbiter.Message {
	close(a.adopting)
	<-a.proceed
	return a.Arbiter.SetService(now, s)
}

// acknowledgement returns a TCP ACK of an open flow.
func acknowledgement(from, to netip.AddrPort) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	ip := header.IPv4(b)
	src, dst := tcpip.AddrFrom4(from.Addr().As4()), tcpip.AddrFrom4(to.Addr().As4())
	ip.Encode(&header.IPv4Fields{TotalLength: uint16(len(b)), TTL: 64, Protocol: flow.ProtocolTCP, SrcAddr: src, DstAddr: dst})
	ip.SetChecksum(^ip.CalculateChecksum())
	segment := header.TCP(ip.Payload())
	segment.Encode(&header.TCPFields{
		SrcPort: from.Port(), DstPort: to.Port(), DataOffset: header.TCPMinimumSize, Flags: header.TCPFlagAck,
	})
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, src, dst, header.TCPMinimumSize)
	segment.SetChecksum(^segment.CalculateChecksum(sum))
	return b
}

// TestNewcomerAgentRefusesNoOpenFlow guards against an agent that resets an open flow while it adopts its first view.
func TestNewcomerAgentRefusesNoOpenFlow(t *testing.T) {
	t.Parallel()
	fabricConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopbackPort()))
	require.NoError(t, err)
	defer fabricConn.Close()
	var records recorder
	slow := &slowArbiter{adopting: make(chan struct{}), proceed: make(chan struct{})}
	a, err := agent.New(agent.Config{
		Name: "newcomer", Incarnation: 1, Service: "s", PacketAddress: loopbackPort(),
		FabricAddress: fabricConn.LocalAddr().(*net.UDPAddr).AddrPort(),
		TargetAddress: netip.MustParseAddrPort("127.0.0.1:9"),
	}, agent.Deps{Refusals: &records, NewArbiter: func(c arbiter.Config) agent.Arbiter {
		slow.Arbiter = arbiter.New(c)
		return slow
	}})
	require.NoError(t, err)
	ran := make(chan error, 1)
	go func() { ran <- a.Run(t.Context()) }()
	defer func() {
		a.Kill()
		<-ran
	}()
	balancer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopbackPort()))
	require.NoError(t, err)
	defer balancer.Close()
	self := balancer.LocalAddr().(*net.UDPAddr).AddrPort()
	to := netip.MustParseAddrPort("198.51.100.1:80")
	s := &view.Service{
		Name: "s", Revision: 1,
		Spec:    resource.ServiceSpec{Addresses: []resource.Address{{IP: "198.51.100.1", Port: 80}}},
		Targets: []view.Target{{ID: "newcomer", Incarnation: 1, Agent: a.PacketAddr(), Weight: 1, State: view.StateActive}},
	}
	adopted := make(chan struct{})
	go func() {
		a.SetService(s)
		close(adopted)
	}()
	<-slow.adopting
	p := acknowledgement(netip.MustParseAddrPort("10.0.0.1:1000"), to)
	info, err := packet.Parse(p)
	require.NoError(t, err)
	d := wire.Datagram{
		Kind: wire.Kind_KIND_FORWARD, Service: "s", Revision: 1, Flow: info.Key.Hash(), Packet: p,
		Row: wire.AppendAddr(nil, a.PacketAddr()), Sender: wire.AppendAddr(nil, self), Balancer: wire.AppendAddr(nil, self),
	}
	raw, err := d.MarshalVT()
	require.NoError(t, err)
	_, err = balancer.WriteToUDPAddrPort(raw, a.PacketAddr())
	require.NoError(t, err)
	require.NoError(t, fabricConn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	_, err = fabricConn.Read(make([]byte, maxDatagram))
	close(slow.proceed)
	<-adopted
	require.True(t, isTimeout(err), "the agent answered the caller")
	require.Empty(t, records.records())
}
