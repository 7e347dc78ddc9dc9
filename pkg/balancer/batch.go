package balancer

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// batch holds the buffers for datagrams that one system call reads and one system call sends. It works on IPv4 and IPv6
// sockets.
type batch struct {
	conn *ipv4.PacketConn
	in   []ipv4.Message
	out  []ipv4.Message
	// buffers and addrs hold the bytes and addresses of the slots of out.
	buffers [][]byte
	addrs   []net.UDPAddr
	used    int
}

func newBatch(conn *net.UDPConn) *batch {
	b := &batch{
		conn:    ipv4.NewPacketConn(conn),
		in:      make([]ipv4.Message, batchSize),
		out:     make([]ipv4.Message, batchSize),
		buffers: make([][]byte, batchSize),
		addrs:   make([]net.UDPAddr, batchSize),
	}
	for i := range batchSize {
		b.in[i].Buffers = [][]byte{make([]byte, maxPacketSize)}
		b.buffers[i] = make([]byte, maxPacketSize+datagramOverhead)
		b.out[i].Buffers = make([][]byte, 1)
		b.addrs[i].IP = make(net.IP, 0, net.IPv6len)
	}
	return b
}

// read blocks until datagrams arrive and returns their number.
func (b *batch) read() (int, error) { return b.conn.ReadBatch(b.in, 0) }

// received returns datagram i and its sender.
func (b *batch) received(i int) ([]byte, netip.AddrPort) {
	m := &b.in[i]
	from, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return nil, netip.AddrPort{}
	}
	a := from.AddrPort()
	return m.Buffers[0][:m.N], netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// buffer returns the buffer of the next datagram to send.
func (b *batch) buffer() []byte { return b.buffers[b.used] }

// add queues a datagram; out must not be modified until the queue has been sent.
func (b *batch) add(out []byte, to netip.AddrPort) {
	m, addr := &b.out[b.used], &b.addrs[b.used]
	addr.IP = appendIP(addr.IP[:0], to.Addr())
	addr.Port = int(to.Port())
	m.Buffers[0] = out
	m.Addr = addr
	b.used++
}

func appendIP(b net.IP, a netip.Addr) net.IP {
	if a.Is4() {
		v := a.As4()
		return append(b, v[:]...)
	}
	v := a.As16()
	return append(b, v[:]...)
}

// take returns the queued datagrams and empties the queue.
func (b *batch) take() []ipv4.Message {
	out := b.out[:b.used]
	b.used = 0
	return out
}
