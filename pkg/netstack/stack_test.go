package netstack

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// pair returns a caller's and a server's stack connected back to back.
func pair(t testing.TB, mtu int) (caller, server *Stack) {
	var err error
	caller, err = New(Config{MTU: mtu, Output: func(p []byte) { server.Inject(p) }})
	require.NoError(t, err)
	server, err = New(Config{MTU: mtu, Output: func(p []byte) { caller.Inject(p) }})
	require.NoError(t, err)
	t.Cleanup(func() {
		caller.Close()
		server.Close()
	})
	return caller, server
}

func deadline(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func echo(t testing.TB, s *Stack) {
	s.AcceptTCP(func(a ConnRequest) {
		conn, err := a.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.Copy(conn, conn)
	})
}

var ends = []struct{ name, local, remote string }{
	{"IPv4", "198.51.100.1:0", "203.0.113.9:80"},
	{"IPv6", "[2001:db8::1]:0", "[2001:db8:f::9]:80"},
}

func TestTCPBothWaysWithHalfClose(t *testing.T) {
	for _, e := range ends {
		t.Run(e.name, func(t *testing.T) {
			caller, server := pair(t, DefaultMTU)
			echo(t, server)
			conn, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort(e.local), netip.MustParseAddrPort(e.remote))
			require.NoError(t, err)
			defer conn.Close()
			sent := make([]byte, 3<<20)
			_, _ = rand.NewChaCha8([32]byte{1}).Read(sent)
			go func() {
				_, _ = conn.Write(sent)
				_ = conn.(*Conn).CloseWrite()
			}()
			got, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.True(t, bytes.Equal(sent, got), "echoed bytes differ")
		})
	}
}

func TestRejectAnswersWithReset(t *testing.T) {
	caller, server := pair(t, DefaultMTU)
	keys := make(chan flow.Key, 1)
	server.AcceptTCP(func(a ConnRequest) {
		keys <- a.Key
		a.Reject()
	})
	remote := netip.MustParseAddrPort("203.0.113.9:81")
	_, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort("198.51.100.1:4000"), remote)
	require.ErrorContains(t, err, "refused")
	require.Equal(t, flow.Key{Source: netip.MustParseAddrPort("198.51.100.1:4000"), Destination: remote, Protocol: flow.ProtocolTCP}, <-keys)
}

func TestAbortResetsPeer(t *testing.T) {
	caller, server := pair(t, DefaultMTU)
	server.AcceptTCP(func(a ConnRequest) {
		conn, err := a.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		conn.(*Conn).Abort()
	})
	conn, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort(ends[0].local), netip.MustParseAddrPort(ends[0].remote))
	require.NoError(t, err)
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
}

// TestPortsAreReusedInTimeWait opens connections from a port whose previous connection the server closed first.
func TestPortsAreReusedInTimeWait(t *testing.T) {
	caller, server := pair(t, DefaultMTU)
	server.AcceptTCP(func(a ConnRequest) {
		conn, err := a.Accept()
		if err == nil {
			_ = conn.Close()
		}
	})
	server.accepted.timeWait = time.Minute
	wait := tcpip.TCPTimeWaitTimeoutOption(time.Minute)
	require.Nil(t, server.stack.SetTransportProtocolOption(tcp.ProtocolNumber, &wait))
	for range 3 {
		conn, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort("198.51.100.1:4000"), netip.MustParseAddrPort(ends[0].remote))
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, conn.Close())
		conn.(*Conn).WaitClosed(deadline(t))
	}
}

func TestUDPBothWays(t *testing.T) {
	for _, e := range ends {
		t.Run(e.name, func(t *testing.T) {
			caller, server := pair(t, DefaultMTU)
			server.HandleUDP(func(_ flow.Key, conn net.Conn) {
				go func() {
					defer conn.Close()
					b := make([]byte, DefaultMTU)
					n, _ := conn.Read(b)
					_, _ = conn.Write(b[:n])
				}()
			})
			conn, err := caller.DialUDP(netip.MustParseAddrPort(e.local), netip.MustParseAddrPort(e.remote))
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte("question"))
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			b := make([]byte, DefaultMTU)
			n, err := conn.Read(b)
			require.NoError(t, err)
			require.Equal(t, "question", string(b[:n]))
		})
	}
}

func TestCloseSendsNothing(t *testing.T) {
	caller, server := pair(t, DefaultMTU)
	echo(t, server)
	conn, err := caller.DialTCP(deadline(t), netip.MustParseAddrPort(ends[0].local), netip.MustParseAddrPort(ends[0].remote))
	require.NoError(t, err)
	server.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "the caller of a closed stack must time out, as with a failed VM")
}

func TestConfigMistakes(t *testing.T) {
	_, err := New(Config{})
	require.ErrorContains(t, err, "Output")
	_, err = New(Config{Output: func([]byte) {}, MTU: 100})
	require.ErrorContains(t, err, "MTU")
}

// TestResetIsAcceptedByTheStack dials an address that answers every segment with Reset.
func TestResetIsAcceptedByTheStack(t *testing.T) {
	for _, e := range ends {
		t.Run(e.name, func(t *testing.T) {
			var caller *Stack
			caller, err := New(Config{Output: func(p []byte) {
				if r, ok := Reset(p); ok {
					caller.Inject(r)
				}
			}})
			require.NoError(t, err)
			defer caller.Close()
			_, err = caller.DialTCP(deadline(t), netip.MustParseAddrPort(e.local), netip.MustParseAddrPort(e.remote))
			require.ErrorContains(t, err, "refused")
		})
	}
}

func FuzzPackets(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x45, 0, 0, 40})
	f.Add(append([]byte{0x60, 0, 0, 0, 0, 20, 6, 64}, make([]byte, 52)...))
	s, err := New(Config{Output: func([]byte) {}})
	require.NoError(f, err)
	f.Cleanup(s.Close)
	s.AcceptTCP(func(a ConnRequest) { a.Reject() })
	s.HandleUDP(func(_ flow.Key, conn net.Conn) { _ = conn.Close() })
	f.Fuzz(func(t *testing.T, packet []byte) {
		s.Inject(packet)
		r, ok := Reset(packet)
		if !ok {
			return
		}
		if _, again := Reset(r); again {
			t.Fatal("a reset must not be answered by a reset")
		}
	})
}

func BenchmarkTCPThroughput(b *testing.B) {
	caller, server := pair(b, DefaultMTU)
	server.AcceptTCP(func(a ConnRequest) {
		conn, err := a.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
	conn, err := caller.DialTCP(deadline(b), netip.MustParseAddrPort(ends[0].local), netip.MustParseAddrPort(ends[0].remote))
	require.NoError(b, err)
	block := make([]byte, 64<<10)
	b.SetBytes(int64(len(block)))
	for b.Loop() {
		_, _ = conn.Write(block)
	}
}
