package cluster

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/fabric"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

// Addresses of the services of a streamLab; each has a TCP and a UDP address of both IP versions.
const (
	routeIP, routeIP6     = "198.51.100.1", "2001:db8:f::1"
	reportsIP, reportsIP6 = "198.51.100.2", "2001:db8:f::2"
	tcpPort, udpPort      = 80, 53
)

// streamLab is an installation in stream mode.
type streamLab struct {
	t       *testing.T
	c       *Cluster
	fabric  *fabric.Fabric
	tap     *tap
	log     *logBuffer
	callers uint16
	// network is part of the callers' addresses and distinguishes this installation from others on the same machine, which
	// may still send packets to a port that was reused.
	network uint16
}

// networks numbers the installations of this process.
var networks atomic.Uint32

func newNetwork() uint16 { return uint16(os.Getpid()*31) + uint16(networks.Add(1)) }

// newStreamLab starts two services of four and two targets behind three balancers; edit may change the configuration
// first.
func newStreamLab(t *testing.T, edit func(*flows.ClusterConfig)) *streamLab {
	t.Helper()
	t.Parallel()
	l := &streamLab{t: t, tap: &tap{}, log: &logBuffer{}, network: newNetwork()}
	// A separate CA isolates this installation from others on the machine when a port is reused.
	own := newAuthority(t)
	var err error
	l.fabric, err = fabric.New(fabric.Config{Seed: 1, Tap: l.tap.observe})
	require.NoError(t, err)
	t.Cleanup(l.fabric.Close)
	cfg := flows.ClusterConfig{
		Deployment: flows.Deployment{
			Name: "test", Region: "amman-east", DataCentres: []string{"marka-hall", "zarqa-hall"},
			Services: []flows.ServiceSize{
				{Name: routeService, Address: resource.Address{IP: routeIP, Port: tcpPort}, Targets: 4, Slots: 2},
				{Name: reportsService, Address: resource.Address{IP: reportsIP, Port: tcpPort}, Targets: 2, Slots: 2},
			},
			Preference: resource.PreferBalance,
		},
		Connections: map[string]uint32{routeService: 500, reportsService: 500},
		Balancers:   3, Fabric: l.fabric, Seed: 1, Log: zerolog.New(l.log),
		Service: allAddresses,
		TLS:     func(process string) settings.TLS { return own.issue(process, time.Now().Add(time.Hour)) },
	}
	if edit != nil {
		edit(&cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c, err := New(ctx, cfg)
	require.NoError(t, err)
	l.c = c.(*Cluster)
	t.Cleanup(l.c.Close)
	t.Cleanup(l.logFlowEnds)
	return l
}

// logFlowEnds logs, if the test has failed, the log lines that may explain why flows ended.
func (l *streamLab) logFlowEnds() {
	if !l.t.Failed() {
		return
	}
	for line := range strings.Lines(l.log.String()) {
		for _, op := range []string{"refuse", "silence", "target-down", "drain", "drained", "vote", "declare dead", "unreachable", "run"} {
			if strings.Contains(line, `"op":"`+op+`"`) {
				l.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// allAddresses adds the IPv6 and UDP addresses to a service.
func allAddresses(s *resource.Service) {
	ip6 := routeIP6
	if s.Name == reportsService {
		ip6 = reportsIP6
	}
	ip := s.Spec.Addresses[0].IP
	s.Spec.Addresses = append(s.Spec.Addresses,
		resource.Address{IP: ip6, Port: tcpPort},
		resource.Address{IP: ip, Port: udpPort, Protocol: resource.ProtocolUDP},
		resource.Address{IP: ip6, Port: udpPort, Protocol: resource.ProtocolUDP},
	)
}

func serviceAddress(ip string, port uint16) string {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), port).String()
}

// caller returns a new caller whose IP version is that of the service address.
func (l *streamLab) caller(ip string) *fabric.Caller {
	l.callers++
	if strings.Contains(ip, ":") {
		return l.fabric.NewCaller(netip.MustParseAddr(fmt.Sprintf("2001:db8:%x::%x", l.network, l.callers)))
	}
	return l.fabric.NewCaller(netip.AddrFrom4([4]byte{10, byte(l.network >> 8), byte(l.network), byte(l.callers)}))
}

func (l *streamLab) client(ip string) (*http.Client, *fabric.Caller) {
	c := l.caller(ip)
	transport := &http.Transport{DialContext: c.DialContext, DisableKeepAlives: true}
	return &http.Client{Transport: transport, Timeout: 2 * waitTimeout}, c
}

// download is one flow whose response is checked byte by byte as it arrives.
type download struct {
	service, name string
	caller        *fabric.Caller
	header        http.Header
	done          chan error
}

// start opens a download of size bytes that takes about the given time, and returns once its response has begun.
func (l *streamLab) start(service, ip, name string, size int, takes time.Duration) *download {
	l.t.Helper()
	client, caller := l.client(ip)
	d := &download{service: service, name: name, caller: caller, done: make(chan error, 1)}
	const pieces = 50
	url := fmt.Sprintf("http://%s%s?flow=%s&size=%d&chunk=%d&every=%s",
		serviceAddress(ip, tcpPort), standin.PathDownload, name, size, size/pieces, takes/pieces)
	resp, err := client.Get(url)
	require.NoError(l.t, err, name)
	require.Equal(l.t, http.StatusOK, resp.StatusCode)
	require.Equal(l.t, service, resp.Header.Get(standin.HeaderService))
	d.header = resp.Header
	go func() {
		defer resp.Body.Close()
		checker := standin.NewChecker(service, name)
		_, err := io.Copy(checker, resp.Body)
		if err == nil && checker.Size() != int64(size) {
			err = fmt.Errorf("%s: %d of %d bytes", name, checker.Size(), size)
		}
		d.done <- err
	}()
	return d
}

// requireComplete waits until every download has ended, and requires that none was cut or got wrong bytes.
func (l *streamLab) requireComplete(downloads []*download) {
	l.t.Helper()
	for _, d := range downloads {
		require.NoError(l.t, <-d.done, "%s of %s", d.name, d.service)
	}
}

// running opens downloads of both services and IP versions that take about the given time.
func (l *streamLab) running(each int, takes time.Duration) []*download {
	l.t.Helper()
	const size = 200_000
	var all []*download
	for i := range each {
		for _, at := range []struct{ service, ip string }{
			{routeService, routeIP}, {routeService, routeIP6}, {reportsService, reportsIP}, {reportsService, reportsIP6},
		} {
			all = append(all, l.start(at.service, at.ip, fmt.Sprintf("run-%d-%s", i, at.ip), size, takes))
		}
	}
	return all
}

// counter sums the counters of a name over all processes, limited to a reason if one is given.
func (l *streamLab) counter(name, reason string) int64 {
	var sum int64
	for _, c := range l.c.scope.Snapshot().Counters() {
		if c.Name() == name && (reason == "" || c.Tags()["reason"] == reason) {
			sum += c.Value()
		}
	}
	return sum
}

// isOwn reports whether an address is that of a caller of this installation.
func (l *streamLab) isOwn(a netip.Addr) bool {
	b := a.AsSlice()
	return len(b) == 4 && binary.BigEndian.Uint16(b[1:]) == l.network || len(b) == 16 && binary.BigEndian.Uint16(b[4:]) == l.network
}

// refusals returns the refusal records of this installation's callers, and those without a caller.
func (l *streamLab) refusals() []refusal.Record {
	var out []refusal.Record
	for _, r := range l.c.Refusals() {
		if !r.Caller.IsValid() || l.isOwn(r.Caller.Addr()) {
			out = append(out, r)
		}
	}
	return out
}

// records returns the refusal records of a reason.
func (l *streamLab) records(reason refusal.Reason) []refusal.Record {
	var out []refusal.Record
	for _, r := range l.refusals() {
		if r.Reason == reason {
			out = append(out, r)
		}
	}
	return out
}

func (l *streamLab) eventually(text string, ready func() bool) {
	l.t.Helper()
	require.Eventually(l.t, ready, waitTimeout, 10*time.Millisecond, text)
}

// targetsOf returns the running targets of a service.
func (l *streamLab) targetsOf(service string) []*target {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	var out []*target
	for _, t := range l.c.targets {
		if t.service == service && t.state != 0 {
			out = append(out, t)
		}
	}
	return out
}

func deadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// tap captures the packets crossing the fabric that its filter keep selects.
type tap struct {
	mu   sync.Mutex
	keep func(toCaller bool, packet []byte) bool
	seen []capturedPacket
}

type capturedPacket struct {
	peer     netip.AddrPort
	toCaller bool
	packet   []byte
}

func (p *tap) observe(peer netip.AddrPort, toCaller bool, packet []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keep != nil && p.keep(toCaller, packet) {
		p.seen = append(p.seen, capturedPacket{peer, toCaller, bytes.Clone(packet)})
	}
}

// start sets the filter and discards the packets captured before.
func (p *tap) start(keep func(toCaller bool, packet []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep, p.seen = keep, nil
}

// captured returns the packets captured so far.
func (p *tap) captured() []capturedPacket {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]capturedPacket(nil), p.seen...)
}

// logBuffer collects log lines; it is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// mark returns the current length of the log in bytes.
func (l *logBuffer) mark() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Len()
}

// hasLine reports whether one line after the mark contains all the parts.
func (l *logBuffer) hasLine(mark int, parts ...string) bool {
	for line := range strings.Lines(l.String()[mark:]) {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			return true
		}
	}
	return false
}

func mustDial(t *testing.T, c *fabric.Caller, network, address string) net.Conn {
	t.Helper()
	conn, err := c.DialContext(deadline(t), network, address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
