package fabric

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/packet"
)

const (
	socketBuffer  = 16 << 20
	maxPacketSize = 64 << 10
	readers       = 2
)

// Fabric carries packets between callers and balancers.
type Fabric struct {
	cfg     Config
	conn    *net.UDPConn
	uplinks []*uplink
	members members
	counts  counters

	callersMu sync.RWMutex
	callers   map[netip.Addr]*uplink

	closed chan struct{}
	done   sync.WaitGroup
}

// uplink is a TCP stack shared by several callers, with its own random source and its own socket towards the balancers.
type uplink struct {
	fabric *Fabric
	stack  *netstack.Stack
	conn   *net.UDPConn
	mu     sync.Mutex
	random *rand.Rand
}

// New opens the sockets and starts forwarding packets.
func New(cfg Config) (*Fabric, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := listen(cfg.Listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Fabric{cfg: cfg, conn: conn, callers: make(map[netip.Addr]*uplink), closed: make(chan struct{})}
	for i := range cfg.Stacks {
		if err := f.addUplink(uint64(i)); err != nil {
			f.Close()
			return nil, trace.Wrap(err)
		}
	}
	for range readers {
		f.done.Go(f.readReplies)
	}
	return f, nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, trace.Wrap(err, "fabric: listen on %v", a)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

func (f *Fabric) addUplink(i uint64) error {
	conn, err := listen(netip.AddrPortFrom(f.cfg.Listen.Addr(), 0))
	if err != nil {
		return trace.Wrap(err)
	}
	s := &uplink{fabric: f, conn: conn, random: rand.New(rand.NewPCG(f.cfg.Seed, i))}
	s.stack, err = netstack.New(netstack.Config{Output: s.spray})
	if err != nil {
		_ = conn.Close()
		return trace.Wrap(err)
	}
	f.uplinks = append(f.uplinks, s)
	return nil
}

// Addr returns the address to which agents and balancers send packets for callers.
func (f *Fabric) Addr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns the totals so far.
func (f *Fabric) Counts() Counts { return f.counts.read() }

// Balancers returns the balancers that the fabric currently sends to.
func (f *Fabric) Balancers() []netip.AddrPort { return f.members.load() }

// AddBalancer makes the fabric send packets to a balancer after Config.JoinLag.
func (f *Fabric) AddBalancer(a netip.AddrPort) {
	f.after(f.cfg.JoinLag, func() { f.members.add(a) })
}

// RemoveBalancer makes the fabric stop sending packets to a balancer after Config.Detection.
func (f *Fabric) RemoveBalancer(a netip.AddrPort) {
	f.after(f.cfg.Detection, func() { f.members.remove(a) })
}

// SendTo sends one datagram to a balancer unchanged; tests use it for malformed input.
func (f *Fabric) SendTo(balancer netip.AddrPort, datagram []byte) error {
	_, err := f.conn.WriteToUDPAddrPort(datagram, balancer)
	return trace.Wrap(err, "fabric: send to %v", balancer)
}

// Close stops the fabric and cuts callers' connections.
func (f *Fabric) Close() {
	close(f.closed)
	_ = f.conn.Close()
	for _, s := range f.uplinks {
		s.stack.Close()
		_ = s.conn.Close()
	}
	f.done.Wait()
}

func (f *Fabric) after(d time.Duration, do func()) {
	if d <= 0 {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// readReplies delivers packets from agents to their callers.
func (f *Fabric) readReplies() {
	b := make([]byte, maxPacketSize)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			f.deliver(b[:n], from)
		}
	}
}

func (f *Fabric) deliver(b []byte, from netip.AddrPort) {
	if f.cfg.Tap != nil {
		f.cfg.Tap(from, true, b)
	}
	info, err := packet.Parse(b)
	if err != nil {
		f.counts.stray.Add(1)
		return
	}
	s := f.uplinkOf(info.Key.Destination.Addr())
	if s == nil || !s.stack.Inject(b) {
		f.counts.stray.Add(1)
		return
	}
	f.counts.toCallers.Add(1)
}

func (f *Fabric) uplinkOf(a netip.Addr) *uplink {
	f.callersMu.RLock()
	defer f.callersMu.RUnlock()
	return f.callers[a]
}

// spray sends one packet of a caller to a balancer chosen at random.
func (s *uplink) spray(p []byte) {
	f := s.fabric
	balancers := f.members.load()
	if len(balancers) == 0 {
		f.counts.unroutable.Add(1)
		return
	}
	s.mu.Lock()
	to := balancers[s.random.IntN(len(balancers))]
	lost := s.random.Float64() < f.cfg.Loss
	twice := s.random.Float64() < f.cfg.Duplicate
	again := balancers[s.random.IntN(len(balancers))]
	delay := s.delay()
	s.mu.Unlock()
	if lost {
		f.counts.lost.Add(1)
		return
	}
	s.sendAfter(delay, to, p)
	if twice {
		f.counts.duplicated.Add(1)
		s.sendAfter(delay, again, p)
	}
}

// delay draws the delay of a packet; s.mu is held.
func (s *uplink) delay() time.Duration {
	if s.fabric.cfg.Delay <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.fabric.cfg.Delay)))
}

func (s *uplink) sendAfter(delay time.Duration, to netip.AddrPort, p []byte) {
	if delay == 0 {
		s.send(to, p)
		return
	}
	kept := append([]byte(nil), p...)
	time.AfterFunc(delay, func() { s.send(to, kept) })
}

func (s *uplink) send(to netip.AddrPort, p []byte) {
	f := s.fabric
	if f.cfg.Tap != nil {
		f.cfg.Tap(to, false, p)
	}
	if _, err := s.conn.WriteToUDPAddrPort(p, to); err != nil {
		f.counts.lost.Add(1)
		return
	}
	f.counts.toBalancers.Add(1)
}
