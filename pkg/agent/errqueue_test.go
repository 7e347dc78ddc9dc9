package agent

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The arbiter once heard of an agent's death from the views only; and the datagram that met the kernel's report was lost.
func TestRefusedDatagramIsToldToTheArbiter(t *testing.T) {
	a := &scripted{}
	b := newBare(t, a)
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
		require.Equal(t, []byte{sent}, in[:n], "no datagram is lost to the report")
	}
	require.Equal(t, dead, a.unreachable[0])
	require.Zero(t, b.scope.Snapshot().Counters()["agent.send_errors+"].Value())
}
