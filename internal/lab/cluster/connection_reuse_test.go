package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
)

// fixedPortConn is one connection of a caller from a fixed port.
type fixedPortConn struct {
	caller *fabric.Caller
	port   uint16
	conn   net.Conn
}

func (f *fixedPortConn) client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		f.conn, err = f.caller.Dial(ctx, network, netip.AddrPortFrom(f.caller.Addr(), f.port), to)
		return f.conn, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}, Timeout: waitTimeout}
}

// abort resets the connection, so that its port is free at once.
func (f *fixedPortConn) abort() { f.conn.(*netstack.Conn).Abort() }

// TestLatePacketsOfEarlierConnection reuses one caller port while packets of all earlier connections are replayed in
// random order. Each connection ends by a reset, so that the next follows without TIME-WAIT.
func TestLatePacketsOfEarlierConnection(t *testing.T) {
	l := newStreamLab(t, nil)
	const port, rounds, size = 4321, 4, 60_000
	for _, ip := range []string{routeIP, routeIP6} {
		caller := l.caller(ip)
		random := rand.New(rand.NewPCG(1, uint64(len(ip))))
		l.tap.start(func(toCaller bool, raw []byte) bool {
			info, err := packet.Parse(raw)
			return err == nil && !toCaller && info.Key.Source == netip.AddrPortFrom(caller.Addr(), port)
		})
		for n := range rounds {
			earlier := l.tap.captured()
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				l.replay(earlier, random, stop)
			}()
			name := fmt.Sprintf("life-%d-%s", n, ip)
			l.downloadAndReset(&fixedPortConn{caller: caller, port: port}, ip, name, size)
			close(stop)
			<-stopped
		}
	}
}

// replay resends random packets to random balancers until stop is closed.
func (l *streamLab) replay(packets []capturedPacket, random *rand.Rand, stop <-chan struct{}) {
	if len(packets) == 0 {
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		balancers := l.fabric.Balancers()
		// A higher rate would overflow socket buffers on a busy machine and drop the packets under test.
		for range 4 {
			p := packets[random.IntN(len(packets))]
			_ = l.fabric.SendTo(balancers[random.IntN(len(balancers))], p.packet)
		}
	}
}

// downloadAndReset downloads over a new connection, checks every byte and resets the connection before its regular end.
func (l *streamLab) downloadAndReset(f *fixedPortConn, ip, name string, size int) {
	l.t.Helper()
	// The target has more to send than is read, so that the connection is still open at the reset.
	url := fmt.Sprintf("http://%s%s?flow=%s&size=%d&chunk=%d&every=10ms", serviceAddress(ip, tcpPort), standin.PathDownload, name, 2*size, size/20)
	var resp *http.Response
	l.eventually(name+" begins", func() bool {
		var err error
		resp, err = f.client().Get(url)
		return err == nil
	})
	defer resp.Body.Close()
	checker := standin.NewChecker(routeService, name)
	_, err := io.CopyN(checker, resp.Body, int64(size))
	require.NoError(l.t, err, name)
	f.abort()
}

// TestSwappedAgentAddressesDoNotCrossServices reassigns the packet addresses of two agents across services while flows
// run and balancers and agents receive their views late.
func TestSwappedAgentAddressesDoNotCrossServices(t *testing.T) {
	l := newStreamLab(t, func(c *flows.ClusterConfig) {
		c.Uneven = time.Second
		c.Deployment.Services[1].Targets = 3
	})
	running := l.running(6, 2*time.Second)
	route, reports := l.targetsOf(routeService)[0], l.targetsOf(reportsService)[0]
	routeAt, reportsAt := route.daemon.Agent().PacketAddr(), reports.daemon.Agent().PacketAddr()
	survivors := l.notServedBy(running, route.id, reports.id)
	require.NoError(t, l.c.KillAgent(route.id))
	require.NoError(t, l.c.KillAgent(reports.id))
	<-route.ended
	<-reports.ended
	l.replace(routeService, "swapped-route", reportsAt)
	l.replace(reportsService, "swapped-reports", routeAt)
	stop := make(chan struct{})
	time.AfterFunc(2*time.Second, func() { close(stop) })
	l.requireOwnBytes(stop)
	l.requireComplete(survivors)
	l.eventually("the new agents serve", func() bool {
		seen := map[string]bool{}
		for _, ip := range []string{routeIP, reportsIP} {
			if id, err := l.tryDownload(ip, "late"); err == nil {
				seen[id] = true
			}
		}
		return seen["swapped-route"] || seen["swapped-reports"]
	})
}

// notServedBy returns the downloads that other targets than the two given ones serve.
func (l *streamLab) notServedBy(all []*download, targets ...string) []*download {
	var out []*download
	for _, d := range all {
		if id := d.header.Get(standin.HeaderTarget); id != targets[0] && id != targets[1] {
			out = append(out, d)
		}
	}
	require.NotEmpty(l.t, out)
	return out
}

// replace starts a target whose agent uses the given packet address.
func (l *streamLab) replace(service, id string, packets netip.AddrPort) {
	l.t.Helper()
	st, err := standin.Start(standin.Config{Service: service, ID: id}, nil)
	require.NoError(l.t, err)
	s := l.c.agentSettings(id, 0, st.Addr())
	s.PacketAddress = packets.String()
	x, err := l.c.runAgent(s, st)
	require.NoError(l.t, err)
	l.t.Cleanup(x.kill)
	a := announcementOf(service)
	require.NoError(l.t, announce(deadline(l.t), x.daemon.AnnounceAddr(), a))
}

// requireOwnBytes opens flows of both services until stop is closed. A flow may be refused while views change; one that
// is answered must get the bytes of its own service.
func (l *streamLab) requireOwnBytes(stop <-chan struct{}) {
	l.t.Helper()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		for _, ip := range []string{routeIP, routeIP6, reportsIP, reportsIP6} {
			_, _ = l.tryDownload(ip, fmt.Sprintf("swap-%d-%s", i, ip))
		}
	}
}

// tryDownload downloads once and returns the target that answered. Bytes of another flow or service fail the test.
func (l *streamLab) tryDownload(ip, name string) (string, error) {
	l.t.Helper()
	client, _ := l.client(ip)
	client.Timeout = time.Second
	service := routeService
	if ip == reportsIP || ip == reportsIP6 {
		service = reportsService
	}
	resp, err := client.Get(fmt.Sprintf("http://%s%s?flow=%s&size=20000", serviceAddress(ip, tcpPort), standin.PathDownload, name))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	require.Equal(l.t, service, resp.Header.Get(standin.HeaderService))
	body, err := io.ReadAll(resp.Body)
	_, wrong := standin.NewChecker(service, name).Write(body)
	require.NoError(l.t, wrong)
	return resp.Header.Get(standin.HeaderTarget), err
}
