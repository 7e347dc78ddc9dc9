package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// TestUnreachableFirstAgentIsSkipped guards against new flows that wait until a view drops an unreachable first agent.
func TestUnreachableFirstAgentIsSkipped(t *testing.T) {
	x := newHarness(t, nil)
	x.b.SetView(testView())
	p := tcpPacket(1000, routeAddr, header.TCPFlagSyn)
	first, out := x.w.handle(p, loopback, start)
	row := append([]byte(nil), decode(t, out).Row...)
	second, _ := wire.RowAddr(row, 1)

	x.b.agentUnreachable(first)
	to, out := x.w.handle(p, loopback, start)
	require.Equal(t, second, to)
	require.Equal(t, row[wire.AddrSize:], decode(t, out).Row, "the receiver is the first agent of the row in its datagram")

	to, _ = x.w.handle(p, loopback, start.Add(suspectTime))
	require.Equal(t, first, to, "the mark expires")
}

func TestLastAgentOfARowIsKept(t *testing.T) {
	var s suspects
	var row []byte
	for i := range 3 {
		a := agentAddr(1, i)
		row = wire.AppendAddr(row, a)
		s.add(encodeAgent(a), start)
	}
	require.Equal(t, row[2*wire.AddrSize:], s.skip(row, start.Add(time.Millisecond)))
}
