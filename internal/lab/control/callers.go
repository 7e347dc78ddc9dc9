package control

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/wait"
)

// callers open flows to an address that no service has, and record the resets.
type callers struct {
	conn *net.UDPConn

	mu   sync.Mutex
	next uint32
	// refused holds the callers that received a reset, with the time of the last one.
	refused map[netip.AddrPort]time.Time
}

const (
	callerPort  = 5000
	unknownPort = 81
	// windowSize is the receive window that the opening packets advertise.
	windowSize = 64 << 10 / 2
)

// unknownAddress is an address that no service has (TEST-NET-3).
var unknownAddress = netip.AddrFrom4([4]byte{203, 0, 113, 200})

func newCallers() (*callers, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, trace.Wrap(err, "listen for packets to callers")
	}
	c := &callers{conn: conn, refused: make(map[netip.AddrPort]time.Time)}
	go c.receive()
	return c, nil
}

func (c *callers) addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (c *callers) close() { _ = c.conn.Close() }

func (c *callers) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		c.recordReset(b[:n])
	}
}

func (c *callers) recordReset(b []byte) {
	ip := header.IPv4(b)
	if !ip.IsValid(len(b)) || ip.TransportProtocol() != header.TCPProtocolNumber {
		return
	}
	tcp := header.TCP(ip.Payload())
	if len(tcp) < header.TCPMinimumSize || !tcp.Flags().Contains(header.TCPFlagRst) {
		return
	}
	caller := netip.AddrPortFrom(netip.AddrFrom4(ip.DestinationAddress().As4()), tcp.DestinationPort())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[caller] = time.Now()
}

// open sends the opening packet of a new caller to a balancer.
func (c *callers) open(balancer netip.AddrPort) {
	c.mu.Lock()
	c.next++
	n := c.next
	c.mu.Unlock()
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|100<<16|n)
	_, _ = c.conn.WriteToUDPAddrPort(opening(ip), balancer)
}

func opening(caller [4]byte) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	source, destination := tcpip.AddrFrom4(caller), tcpip.AddrFrom4(unknownAddress.As4())
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)), TTL: 64, Protocol: uint8(header.TCPProtocolNumber), SrcAddr: source, DstAddr: destination,
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	header.TCP(ip.Payload()).Encode(&header.TCPFields{
		SrcPort: callerPort, DstPort: unknownPort, DataOffset: header.TCPMinimumSize, Flags: header.TCPFlagSyn,
		SeqNum: 1, WindowSize: windowSize,
	})
	return b
}

// refusedCallers returns a copy of the callers that received a reset.
func (c *callers) refusedCallers() map[netip.AddrPort]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[netip.AddrPort]time.Time, len(c.refused))
	for k, v := range c.refused {
		out[k] = v
	}
	return out
}

// openFlows sends opening packets of new callers to random live balancers until ctx ends.
func (c *cluster) openFlows(ctx context.Context, pick func(n int) int) {
	for ctx.Err() == nil {
		_ = wait.For(ctx, callerInterval)
		live := c.live()
		b := live[pick(len(live))]
		if b.takesCallers() {
			c.callers.open(b.daemon.PacketAddr())
		}
	}
}

const callerInterval = 300 * time.Millisecond
