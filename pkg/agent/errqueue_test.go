package agent

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Refusals by an agent's host must reach the arbiter without waiting for a view, and the datagram whose send returns
// the kernel's error must not be lost.
func TestRefusedDatagramIsReportedToArbiter(t *testing.T) {
	a := &scriptedArbiter{}
	b := newIdleAgent(t, a)
	closed := listenUDP(t)
	dead := closed.LocalAddr().(*net.UDPAddr).AddrPort()
	require.NoError(t, closed.Close())
	in := make([]byte, 8)
	for sent := byte(0); len(a.unreachable) == 0; sent++ {
		require.Less(t, sent, byte(200))
		b.send([]byte{1}, dead)
		b.send([]byte{sent}, b.peerAddr())
		require.NoError(t, b.peer.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, _, err := b.peer.ReadFromUDPAddrPort(in)
		require.NoError(t, err)
		require.Equal(t, []byte{sent}, in[:n], "the datagram whose send returned the error is sent again")
	}
	require.Equal(t, dead, a.unreachable[0])
	require.Zero(t, b.scope.Snapshot().Counters()["agent.send_errors+"].Value())
}
