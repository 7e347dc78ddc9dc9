package flows

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/netstack"
)

func flagsOf(p []byte) header.TCPFlags { return header.TCP(header.IPv4(p).Payload()).Flags() }

// TestFinishOvertaken lets both ends finish at once and the caller's last acknowledgement overtake its FIN, as it does when
// they come by two balancers. The stack then keeps the connection in CLOSING for ever: it counts the overtaking
// acknowledgement as received but not as that of its FIN. The agent goes on owning the flow, its socket to the target
// stays open, and a drain never ends.
func TestFinishOvertaken(t *testing.T) {
	t.Parallel()
	var caller, server *netstack.Stack
	serverFinish := make(chan struct{})
	var callerFinish []byte
	caller, err := netstack.New(netstack.Config{Output: func(p []byte) {
		if callerFinish == nil && flagsOf(p).Contains(header.TCPFlagFin) {
			callerFinish = append([]byte(nil), p...)
			close(serverFinish)
			return
		}
		server.Inject(p)
		if callerFinish != nil {
			server.Inject(callerFinish)
		}
	}})
	require.NoError(t, err)
	defer caller.Close()
	server, err = netstack.New(netstack.Config{Output: func(p []byte) {
		if flagsOf(p).Contains(header.TCPFlagFin) {
			<-serverFinish
		}
		caller.Inject(p)
	}})
	require.NoError(t, err)
	defer server.Close()
	ended := make(chan error, 1)
	server.AcceptTCP(func(a netstack.ConnRequest) {
		conn, err := a.Accept()
		if err != nil {
			ended <- err
			return
		}
		_ = conn.(*netstack.Conn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		conn.(*netstack.Conn).WaitClosed(ctx)
		ended <- ctx.Err()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := caller.DialTCP(ctx, netip.MustParseAddrPort("10.0.0.1:0"), netip.MustParseAddrPort("198.51.100.1:80"))
	require.NoError(t, err)
	_ = conn.Close()
	require.NoError(t, <-ended)
}
