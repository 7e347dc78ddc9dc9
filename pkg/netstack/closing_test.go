package netstack

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// reorderer forwards packets, but delays the first FIN until after the next packet.
type reorderer struct {
	mu   sync.Mutex
	held []byte
	pass func(p []byte)
}

func (o *reorderer) output(p []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _, segment, ok := tcpOf(p)
	if ok && o.held == nil && segment.Flags().Contains(header.TCPFlagFin) {
		o.held = append(o.held, p...)
		return
	}
	o.pass(p)
	if len(o.held) > 0 {
		o.pass(o.held)
		o.held = o.held[:0]
	}
}

// closeBoth closes both sides simultaneously and returns the server's side. The server's FIN is acknowledged before the
// caller's FIN arrives, which has an older acknowledgement number.
func closeBoth(t *testing.T, timeWait time.Duration) *Conn {
	t.Helper()
	var server *Stack
	o := &reorderer{pass: func(p []byte) { server.Inject(p) }}
	caller, err := New(Config{Output: o.output})
	require.NoError(t, err)
	t.Cleanup(caller.Close)
	server, err = New(Config{Output: func(p []byte) { caller.Inject(p) }})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	server.accepted.timeWait = timeWait
	accepted := make(chan net.Conn, 1)
	server.AcceptTCP(func(a ConnRequest) {
		if conn, err := a.Accept(); err == nil {
			accepted <- conn
		}
	})
	conn, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort(ends[0].local), netip.MustParseAddrPort(ends[0].remote))
	require.NoError(t, err)
	other := (<-accepted).(*Conn)
	require.NoError(t, conn.Close())
	require.Eventually(t, o.isHolding, 20*time.Second, time.Millisecond)
	require.NoError(t, other.CloseWrite())
	require.Eventually(t, other.inClosing, 20*time.Second, time.Millisecond, "the server does not enter CLOSING")
	_, err = other.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, other.Close())
	return other
}

func (o *reorderer) isHolding() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.held) > 0
}

func TestWaitClosedEndsInClosing(t *testing.T) {
	c := closeBoth(t, time.Hour)
	ctx := deadline(t)
	c.WaitClosed(ctx)
	require.NoError(t, ctx.Err())
	require.True(t, c.inClosing())
}

func TestConnectionInClosingIsReleased(t *testing.T) {
	c := closeBoth(t, 10*time.Millisecond)
	require.Eventually(t, c.isClosed, 20*time.Second, time.Millisecond)
}

func TestWaitClosedDoesNotWaitForAPeerThatStaysOpen(t *testing.T) {
	caller, server := pair(t, DefaultMTU)
	accepted := make(chan net.Conn, 1)
	server.AcceptTCP(func(a ConnRequest) {
		if conn, err := a.Accept(); err == nil {
			accepted <- conn
		}
	})
	conn, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort(ends[0].local), netip.MustParseAddrPort(ends[0].remote))
	require.NoError(t, err)
	other := (<-accepted).(*Conn)
	require.NoError(t, other.Close())
	ctx := deadline(t)
	other.WaitClosed(ctx)
	require.NoError(t, ctx.Err())
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
