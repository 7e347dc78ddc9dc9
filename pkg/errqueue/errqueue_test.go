package errqueue

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDrainReportsRefusedDestination(t *testing.T) {
	for network, addr := range map[string]string{"udp4": "127.0.0.1:0", "udp6": "[::1]:0"} {
		t.Run(network, func(t *testing.T) {
			listen := func() *net.UDPConn {
				a := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr))
				conn, err := net.ListenUDP(network, a)
				require.NoError(t, err)
				return conn
			}
			gone := listen()
			to := gone.LocalAddr().(*net.UDPAddr).AddrPort()
			require.NoError(t, gone.Close())
			conn := listen()
			defer conn.Close()
			Enable(conn)
			_, err := conn.WriteToUDPAddrPort([]byte("x"), to)
			require.NoError(t, err)
			// The kernel reports the refusal on a later call.
			_, _, err = conn.ReadFromUDPAddrPort(make([]byte, 1))
			require.Error(t, err)
			var refused []netip.AddrPort
			Drain(conn, func(a netip.AddrPort) { refused = append(refused, a) })
			require.Equal(t, []netip.AddrPort{to}, refused)
		})
	}
}
