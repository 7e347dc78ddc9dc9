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

// TestFinishOvertaken guards against connections that stay in CLOSING forever, so that a drain never ends. It happens on a
// simultaneous close if the caller's last ACK overtakes its FIN through another balancer: the stack counts the ACK as
// received, but not as that of its own FIN.
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
