package agent

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/gravitational/trace"
	"golang.org/x/net/ipv4"
)

// fabricBatch is the highest number of packets sent by one system call.
const fabricBatch = 64

// fabric sends raw IP packets to callers, one in each UDP datagram.
type fabric struct {
	conn     *net.UDPConn
	batch    *ipv4.PacketConn
	messages []ipv4.Message
	buffers  [][]byte
	used     int
	allowed  func(packet []byte) bool
	metrics  *metrics
	closed   atomic.Bool
}

func newFabric(to netip.AddrPort, mtu int, allowed func([]byte) bool, m *metrics) (*fabric, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return nil, trace.Wrap(err, "open socket to fabric %v", to)
	}
	_ = conn.SetWriteBuffer(socketBuffer)
	f := &fabric{conn: conn, batch: ipv4.NewPacketConn(conn), allowed: allowed, metrics: m}
	f.messages = make([]ipv4.Message, fabricBatch)
	f.buffers = make([][]byte, fabricBatch)
	for i := range f.messages {
		f.buffers[i] = make([]byte, 0, mtu)
		f.messages[i].Buffers = make([][]byte, 1)
	}
	return f, nil
}

// output queues a packet of the agent's own stack. It must not be called concurrently.
func (f *fabric) output(packet []byte) {
	if !f.allowed(packet) {
		f.metrics.muted.Inc(1)
		return
	}
	f.buffers[f.used] = append(f.buffers[f.used][:0], packet...)
	f.messages[f.used].Buffers[0] = f.buffers[f.used]
	f.used++
	if f.used == fabricBatch {
		f.flush()
	}
}

// flush sends the packets that output has queued.
func (f *fabric) flush() {
	rest := f.messages[:f.used]
	f.used = 0
	for len(rest) > 0 && !f.closed.Load() {
		n, err := f.batch.WriteBatch(rest, 0)
		if err != nil {
			// The error concerns the first packet, or an earlier one that the fabric's host refused; skip one packet.
			f.metrics.fabricErrors.Inc(1)
			n = max(n, 1)
		}
		f.metrics.fabricPackets.Inc(int64(n))
		rest = rest[n:]
	}
}

// send sends one packet without queueing; it may be called concurrently.
func (f *fabric) send(packet []byte) {
	if f.closed.Load() {
		return
	}
	if _, err := f.conn.Write(packet); err != nil {
		f.metrics.fabricErrors.Inc(1)
		return
	}
	f.metrics.fabricPackets.Inc(1)
}

func (f *fabric) close() {
	f.closed.Store(true)
	_ = f.conn.Close()
}
