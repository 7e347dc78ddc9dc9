package flows

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	"github.com/auburnwood/auburnwood/pkg/netstack"
)

// TestFlowThatIsResetBeforeAnyAnswerEnds guards against an echo flow that hangs after a reset because its request body
// waits for the response.
func TestFlowThatIsResetBeforeAnyAnswerEnds(t *testing.T) {
	f, err := fabric.New(fabric.Config{})
	require.NoError(t, err)
	defer f.Close()
	balancer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopbackPort()))
	require.NoError(t, err)
	defer balancer.Close()
	f.AddBalancer(balancer.LocalAddr().(*net.UDPAddr).AddrPort())
	server, err := netstack.New(netstack.Config{Output: func(p []byte) { _, _ = balancer.WriteToUDPAddrPort(p, f.Addr()) }})
	require.NoError(t, err)
	defer server.Close()
	server.AcceptTCP(func(a netstack.ConnRequest) {
		conn, err := a.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		conn.(*netstack.Conn).Abort()
	})
	go func() {
		b := make([]byte, maxDatagram)
		for n, err := balancer.Read(b); err == nil; n, err = balancer.Read(b) {
			server.Inject(b[:n])
		}
	}()
	local := netip.MustParseAddrPort("10.0.0.1:1000")
	var measureStalls atomic.Bool
	c := client{caller: f.NewCaller(local.Addr()), measureStalls: &measureStalls, plan: &plan{
		name: "f1", kind: kindEcho, service: "s", local: local, remote: netip.MustParseAddrPort("198.51.100.1:80"),
		every: minInterval, hold: minInterval,
	}}
	require.Equal(t, verdictBroken, c.run(context.Background()).verdict)
}
