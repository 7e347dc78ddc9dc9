package agent

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pires/go-proxyproto"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func randomBytes(n int, seed byte) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(b)
	return b
}

func TestHTTPThroughTwoAgents(t *testing.T) {
	want := randomBytes(1<<20, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, _ := io.ReadAll(r.Body)
		if !bytes.Equal(got, want) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(want)
	})
	one, two := httptest.NewServer(handler), httptest.NewServer(handler)
	defer one.Close()
	defer two.Close()
	l := newHarness(t, streamSpec(), one.Listener.Addr(), two.Listener.Addr())
	for _, to := range []netip.AddrPort{serviceIP, serviceIP6} {
		client := http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return l.dial(to) },
		}}
		for range 4 {
			res, err := client.Post("http://"+to.String()+"/", "application/octet-stream", bytes.NewReader(want))
			require.NoError(t, err)
			got, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, res.StatusCode)
			require.True(t, bytes.Equal(want, got), "answer differs")
		}
		client.CloseIdleConnections()
	}
	require.Empty(t, l.records.reasons())
	eventually(t, func() bool { return l.agents[0].OpenFlows()+l.agents[1].OpenFlows() == 0 }, "flows end")
}

func TestHalfCloseKeepsOtherDirection(t *testing.T) {
	answer := randomBytes(300<<10, 2)
	got := make(chan []byte, 1)
	target := listenTCP(t, func(c *net.TCPConn) {
		defer c.Close()
		b, _ := io.ReadAll(c)
		got <- b
		_, _ = c.Write(answer)
	})
	l := newHarness(t, streamSpec(), target.Addr())
	conn := l.mustDial(serviceIP)
	question := randomBytes(200<<10, 3)
	_, err := conn.Write(question)
	require.NoError(t, err)
	require.NoError(t, conn.(interface{ CloseWrite() error }).CloseWrite())
	b, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.Equal(answer, b), "answer differs")
	require.True(t, bytes.Equal(question, <-got), "question differs")
}

func TestBackPressureReachesTheCaller(t *testing.T) {
	read := make(chan struct{})
	target := listenTCP(t, func(c *net.TCPConn) {
		defer c.Close()
		<-read
		_, _ = io.Copy(c, c)
	})
	l := newHarness(t, streamSpec(), target.Addr())
	conn := l.mustDial(serviceIP)
	sent := randomBytes(16<<20, 4)
	wrote := make(chan int, 1)
	go func() {
		n, _ := conn.Write(sent)
		wrote <- n
		_ = conn.(interface{ CloseWrite() error }).CloseWrite()
	}()
	select {
	case n := <-wrote:
		t.Fatalf("%d bytes were accepted although the target reads none", n)
	case <-time.After(time.Second):
	}
	close(read)
	b, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, b), "echo differs")
}

func TestRefusedByTarget(t *testing.T) {
	target := listenTCP(t, echo)
	l := newHarness(t, streamSpec(), target.Addr())
	_ = target.Close()
	_, err := l.dial(serviceIP)
	require.ErrorContains(t, err, "refused")
	require.Equal(t, []refusal.Reason{refusal.ReasonTargetRefused}, l.records.reasons())
	eventually(t, func() bool { return l.agents[0].OpenFlows() == 0 }, "flow ends")
}

// TestKilledTargetResetsItsFlows covers both forms in which the kernel may end a killed target's connections: close and
// reset.
func TestKilledTargetResetsItsFlows(t *testing.T) {
	for name, linger := range map[string]int{"close": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan *net.TCPConn, 1)
			target := listenTCP(t, func(c *net.TCPConn) {
				_, _ = io.CopyN(c, c, 4)
				conns <- c
			})
			other := listenTCP(t, echo)
			spec := streamSpec()
			spec.Preference = resource.PreferBalance
			l := newHarness(t, spec, target.Addr(), other.Addr())
			broken, living := l.mustDial(serviceIP), l.mustDial(serviceIP)
			exchange(t, broken)
			exchange(t, living)
			if l.owner(living) == l.agents[0] {
				broken, living = living, broken
			}
			require.Equal(t, l.agents[0], l.owner(broken), "the first agent has no flow")
			_ = target.Close()
			c := <-conns
			_ = c.SetLinger(linger)
			_ = c.Close()
			_, err := broken.Read(make([]byte, 1))
			require.ErrorContains(t, err, "reset")
			exchange(t, living)
			require.Equal(t, []refusal.Reason{refusal.ReasonTargetDied}, l.records.reasons())
		})
	}
}

func exchange(t *testing.T, conn net.Conn) {
	_, err := conn.Write([]byte("ping"))
	require.NoError(t, err)
	b := make([]byte, 4)
	_, err = io.ReadFull(conn, b)
	require.NoError(t, err)
	require.Equal(t, "ping", string(b))
}

func TestDrainWaitsThenResets(t *testing.T) {
	target := listenTCP(t, echo)
	spec := streamSpec()
	spec.DrainTime = resource.Duration(2 * time.Second)
	l := newHarness(t, spec, target.Addr())
	ends, stays := l.mustDial(serviceIP), l.mustDial(serviceIP)
	exchange(t, ends)
	exchange(t, stays)
	drained := make(chan struct{})
	go func() {
		l.agents[0].Drain(context.Background())
		close(drained)
	}()
	eventually(t, func() bool { return l.agents[0].draining.Load() }, "drain begins")
	exchange(t, ends)
	require.NoError(t, ends.(interface{ CloseWrite() error }).CloseWrite())
	_, err := ends.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	<-drained
	_, err = stays.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
	require.Equal(t, []refusal.Reason{refusal.ReasonDrainTimeOver}, l.records.reasons())
}

func TestKillSendsNothing(t *testing.T) {
	target := listenTCP(t, echo)
	l := newHarness(t, streamSpec(), target.Addr())
	conn := l.mustDial(serviceIP)
	exchange(t, conn)
	l.agents[0].Kill()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "got %v", err)
}

func TestWrongServiceIsRefused(t *testing.T) {
	target := listenTCP(t, echo)
	l := newHarness(t, streamSpec(), target.Addr())
	l.setServiceName("reports-svc")
	_, err := l.dial(serviceIP)
	require.ErrorContains(t, err, "refused")
	l.setServiceName(serviceName)
	_, err = l.dial(netip.MustParseAddrPort("203.0.113.99:80"))
	require.ErrorContains(t, err, "refused")
	require.Equal(t, []refusal.Reason{refusal.ReasonWrongService, refusal.ReasonWrongService}, l.records.reasons())
	require.Zero(t, l.agents[0].OpenFlows())
}

func TestProxyHeaderNamesTheCaller(t *testing.T) {
	callers := make(chan string, 1)
	plain, err := net.Listen("tcp", local.String())
	require.NoError(t, err)
	target := &proxyproto.Listener{Listener: plain}
	defer target.Close()
	go func() {
		c, err := target.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		callers <- c.RemoteAddr().String()
		_, _ = io.Copy(c, c)
	}()
	spec := streamSpec()
	spec.ProxyProtocol = true
	l := newHarness(t, spec, plain.Addr())
	conn := l.mustDial(serviceIP6)
	exchange(t, conn)
	require.Equal(t, conn.LocalAddr().String(), <-callers)
}

func TestUDPFlowEndsByIdleTime(t *testing.T) {
	target := listenUDP(t)
	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := target.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = target.WriteToUDPAddrPort(b[:n], from)
		}
	}()
	spec := streamSpec()
	spec.UDPIdle = resource.Duration(100 * time.Millisecond)
	l := newHarness(t, spec, target.LocalAddr())
	conn, err := l.caller.DialUDP(callerIP, serviceUDP)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	for range 2 {
		exchange(t, conn)
		eventually(t, func() bool { return l.agents[0].OpenFlows() == 0 }, "flow ends")
	}
}

// TestDrainingAgentTakesNoNewFlow opens flows while one of two agents drains; the open flow of that agent continues.
func TestDrainingAgentTakesNoNewFlow(t *testing.T) {
	one, two := listenTCP(t, echo), listenTCP(t, echo)
	spec := streamSpec()
	spec.Preference = resource.PreferBalance
	l := newHarness(t, spec, one.Addr(), two.Addr())
	first, second := l.mustDial(serviceIP), l.mustDial(serviceIP)
	exchange(t, first)
	exchange(t, second)
	leaving := l.owner(first)
	drained := make(chan struct{})
	go func() {
		leaving.Drain(context.Background())
		close(drained)
	}()
	eventually(t, func() bool { return l.drains.Load() == 1 }, "drain begins")
	for range 8 {
		conn := l.mustDial(serviceIP)
		exchange(t, conn)
		require.NotEqual(t, leaving, l.owner(conn))
	}
	exchange(t, first)
	require.NoError(t, first.Close())
	<-drained
	require.Empty(t, l.records.reasons())
}

// TestClosedUDPTargetIsRecorded closes the target's socket before and after its first answer.
func TestClosedUDPTargetIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		answers bool
		reason  refusal.Reason
	}{
		"never there": {false, refusal.ReasonTargetRefused},
		"died":        {true, refusal.ReasonTargetDied},
	} {
		t.Run(name, func(t *testing.T) {
			target := listenUDP(t)
			l := newHarness(t, streamSpec(), target.LocalAddr())
			conn, err := l.caller.DialUDP(callerIP, serviceUDP)
			require.NoError(t, err)
			defer conn.Close()
			if c.answers {
				go func() {
					b := make([]byte, 2048)
					n, from, _ := target.ReadFromUDPAddrPort(b)
					_, _ = target.WriteToUDPAddrPort(b[:n], from)
				}()
				exchange(t, conn)
			}
			require.NoError(t, target.Close())
			_, err = conn.Write([]byte("ping"))
			require.NoError(t, err)
			eventually(t, func() bool { return len(l.records.reasons()) > 0 }, "refusal is recorded")
			require.Equal(t, []refusal.Reason{c.reason}, l.records.reasons())
			eventually(t, func() bool { return l.agents[0].OpenFlows() == 0 }, "flow ends")
		})
	}
}

// TestLastAcknowledgementIsRepeated loses every answer to the caller's first FIN, after the agent closed its side.
func TestLastAcknowledgementIsRepeated(t *testing.T) {
	target := listenTCP(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(c, c, 4)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	l := newHarness(t, streamSpec(), target.Addr())
	conn := l.mustDial(serviceIP)
	exchange(t, conn)
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	fins := 0
	l.mu.Lock()
	l.onCallerPacket = func(info packet.Info) {
		if info.Finish {
			fins++
		}
	}
	l.shouldDrop = func([]byte) bool { return fins == 1 }
	l.mu.Unlock()
	require.NoError(t, conn.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		conn.(*netstack.Conn).WaitClosed(ctx)
		close(closed)
	}()
	eventually(t, func() bool { return l.agents[0].OpenFlows() == 0 }, "the flow ends at the agent")
	<-closed
	l.mu.Lock()
	defer l.mu.Unlock()
	require.NoError(t, ctx.Err(), "the caller's FIN was never answered, %d times", fins)
	require.Greater(t, fins, 1)
}
