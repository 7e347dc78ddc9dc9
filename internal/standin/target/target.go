package target

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/pires/go-proxyproto"
)

// Target is a running HTTP server.
type Target struct {
	cfg     Config
	started time.Time
	server  *http.Server
	ln      net.Listener
	udp     *net.UDPConn
	journal *Journal
	slots   chan struct{}
	open    atomic.Int64
	peak    atomic.Int64
	shed    atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	random *rand.Rand
	killed bool
}

// Start serves HTTP and, on the same port, UDP datagrams, which are echoed behind a Label. The journal may be shared; nil
// means a new one.
func Start(cfg Config, journal *Journal) (*Target, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ln, udp, err := listen(cfg.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "target %s: listen", cfg.ID)
	}
	if journal == nil {
		journal = &Journal{}
	}
	t := &Target{
		cfg:     cfg,
		started: time.Now(),
		ln:      ln,
		udp:     udp,
		journal: journal,
		conns:   make(map[net.Conn]struct{}),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	if cfg.Slots > 0 {
		t.slots = make(chan struct{}, cfg.Slots)
	}
	t.serveUDP()
	t.server = &http.Server{Handler: t.handler(), ConnState: t.connState}
	go func() { _ = t.server.Serve(t.listener()) }()
	return t, nil
}

func (t *Target) listener() net.Listener {
	if t.cfg.ProxyProtocol {
		return &proxyproto.Listener{Listener: t.ln, ReadHeaderTimeout: time.Minute}
	}
	return t.ln
}

// Addr returns the address that the target listens on.
func (t *Target) Addr() netip.AddrPort { return t.ln.Addr().(*net.TCPAddr).AddrPort() }

// Config returns the settings, with defaults applied.
func (t *Target) Config() Config { return t.cfg }

// Open returns the actual number of open connections.
func (t *Target) Open() int { return int(t.open.Load()) }

// PeakConnections returns the highest number of connections that were open at the same time.
func (t *Target) PeakConnections() int { return int(t.peak.Load()) }

// Shed returns the number of work requests shed for lack of a free slot.
func (t *Target) Shed() int { return int(t.shed.Load()) }

func (t *Target) Journal() *Journal { return t.journal }

// Kill closes the listener and resets every connection, as if the process died.
func (t *Target) Kill() {
	t.mu.Lock()
	conns := t.conns
	t.conns, t.killed = nil, true
	t.mu.Unlock()
	_ = t.ln.Close()
	_ = t.udp.Close()
	for c := range conns {
		reset(c)
	}
	_ = t.server.Close()
}

func reset(c net.Conn) {
	if p, ok := c.(*proxyproto.Conn); ok {
		c = p.Raw()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connState tracks the open connections.
func (t *Target) connState(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		t.addConn(c)
	case http.StateClosed, http.StateHijacked:
		t.removeConn(c)
	}
}

func (t *Target) addConn(c net.Conn) {
	n := t.open.Add(1)
	for h := t.peak.Load(); n > h && !t.peak.CompareAndSwap(h, n); h = t.peak.Load() {
	}
	if t.cfg.Connections > 0 && n > int64(t.cfg.Connections) {
		reset(c)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.killed {
		reset(c)
		return
	}
	t.conns[c] = struct{}{}
}

func (t *Target) removeConn(c net.Conn) {
	t.open.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// listenTries bounds the search for a port that is free for TCP and UDP.
const listenTries = 20

// listen opens both sockets on one port. When at names no port, it tries another one if the UDP port is taken, since
// datagrams for this target would reach the process that owns it.
func listen(at netip.AddrPort) (*net.TCPListener, *net.UDPConn, error) {
	for try := 1; ; try++ {
		ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ln.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return ln, udp, nil
		}
		_ = ln.Close()
		if at.Port() != 0 || try == listenTries {
			return nil, nil, trace.Wrap(err)
		}
	}
}

// serveUDP echoes datagrams behind a Label.
func (t *Target) serveUDP() {
	conn := t.udp
	label := Label{Service: t.cfg.Service, Target: t.cfg.ID}
	go func() {
		b := make([]byte, 64<<10)
		var answer []byte
		for {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			answer = append(label.Append(answer[:0]), b[:n]...)
			_, _ = conn.WriteToUDPAddrPort(answer, from)
		}
	}()
}
