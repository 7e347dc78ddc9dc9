package fabric

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/netstack"
)

var service = netip.MustParseAddrPort("198.51.100.1:80")

// echoHost echoes callers' connections; it receives packets on several sockets that stand in for balancers.
type echoHost struct {
	stack *netstack.Stack
	conns []*net.UDPConn
	seen  []int
}

func newEchoHost(t *testing.T, f *Fabric, balancers int) *echoHost {
	m := &echoHost{seen: make([]int, balancers)}
	out, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	m.stack, err = netstack.New(netstack.Config{Output: func(p []byte) {
		_, _ = out.WriteToUDPAddrPort(p, f.Addr())
	}})
	require.NoError(t, err)
	m.stack.AcceptTCP(func(a netstack.ConnRequest) {
		if conn, err := a.Accept(); err == nil {
			b := make([]byte, 64<<10)
			for n, err := conn.Read(b); err == nil; n, err = conn.Read(b) {
				_, _ = conn.Write(b[:n])
			}
			_ = conn.Close()
		}
	})
	done := make(chan struct{}, balancers)
	for i := range balancers {
		conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		m.conns = append(m.conns, conn)
		f.AddBalancer(conn.LocalAddr().(*net.UDPAddr).AddrPort())
		go func() {
			m.read(conn, i)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		for _, c := range m.conns {
			_ = c.Close()
		}
		for range balancers {
			<-done
		}
		m.stack.Close()
		_ = out.Close()
	})
	return m
}

func (m *echoHost) read(conn *net.UDPConn, i int) {
	b := make([]byte, maxPacketSize)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		m.seen[i]++
		m.stack.Inject(b[:n])
	}
}

func dial(t *testing.T, f *Fabric, ip string) net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	conn, err := f.NewCaller(netip.MustParseAddr(ip)).DialContext(ctx, "tcp", service.String())
	require.NoError(t, err)
	return conn
}

func TestConnectionsSurviveSprayedPackets(t *testing.T) {
	tests := map[string]Config{
		"clean": {Seed: 1},
		"rough": {Seed: 2, Loss: 0.02, Duplicate: 0.05, Delay: 2 * time.Millisecond},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			f, err := New(cfg)
			require.NoError(t, err)
			defer f.Close()
			newEchoHost(t, f, 3)
			conn := dial(t, f, "10.1.0.1")
			defer conn.Close()
			sent := make([]byte, 200<<10)
			for i := range sent {
				sent[i] = byte(i * i >> 3)
			}
			go func() { _, _ = conn.Write(sent) }()
			got := make([]byte, len(sent))
			for at := 0; at < len(got); {
				n, err := conn.Read(got[at:])
				require.NoError(t, err)
				at += n
			}
			require.Equal(t, sent, got)
			c := f.Counts()
			require.NotZero(t, c.ToCallers)
			require.Equal(t, cfg.Loss > 0, c.Lost > 0)
			require.Equal(t, cfg.Duplicate > 0, c.Duplicated > 0)
		})
	}
}

func TestEveryBalancerGetsPackets(t *testing.T) {
	f, err := New(Config{Seed: 3})
	require.NoError(t, err)
	sent := map[netip.AddrPort]int{}
	f.cfg.Tap = func(b netip.AddrPort, _ bool, _ []byte) { sent[b]++ }
	for port := uint16(1); port <= 4; port++ {
		f.AddBalancer(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port))
	}
	for range 400 {
		f.uplinks[0].spray([]byte{0})
	}
	f.Close()
	require.Len(t, sent, 4)
	for b, n := range sent {
		require.Greater(t, n, 60, "balancer %v", b)
	}
}

func TestBalancerChangesAreDelayed(t *testing.T) {
	f, err := New(Config{Detection: time.Hour})
	require.NoError(t, err)
	defer f.Close()
	a := netip.MustParseAddrPort("127.0.0.1:1")
	f.AddBalancer(a)
	f.AddBalancer(a)
	f.RemoveBalancer(a)
	require.Equal(t, []netip.AddrPort{a}, f.Balancers(), "a removed balancer stays until the detection time is over")
	f.cfg.Detection = 0
	f.RemoveBalancer(a)
	require.Empty(t, f.Balancers())
}

func TestStrayReplies(t *testing.T) {
	f, err := New(Config{})
	require.NoError(t, err)
	defer f.Close()
	f.deliver([]byte("no packet"), service)
	f.deliver(nil, service)
	require.EqualValues(t, 2, f.Counts().Stray)
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for _, cfg := range []Config{{Loss: -1}, {Duplicate: 2}, {Stacks: -1}} {
		_, err := New(cfg)
		require.Error(t, err)
	}
}
