package soak

import (
	"net"
	"net/netip"
	"sync"

	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/platform"
)

// callerVM is a VM with many callers that share one socket.
type callerVM struct {
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan segment.Segment
}

// inboxSize is the number of packets buffered for a caller; more are dropped.
const inboxSize = 32

func newCallerVM(address netip.AddrPort) (*callerVM, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	m := &callerVM{conn: conn, ip: address.Addr(), port: 1000, flows: make(map[uint16]chan segment.Segment)}
	go m.read()
	return m, nil
}

func (m *callerVM) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s, err := platform.Codec{}.Decode(append([]byte(nil), b[:n]...))
		if err != nil {
			continue
		}
		m.mu.Lock()
		c := m.flows[s.Destination.Port()]
		m.mu.Unlock()
		select {
		case c <- s:
		default:
		}
	}
}

// add returns the source address of a new flow, and the channel on which its packets arrive.
func (m *callerVM) add() (netip.AddrPort, chan segment.Segment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.port++
	c := make(chan segment.Segment, inboxSize)
	m.flows[m.port] = c
	return netip.AddrPortFrom(m.ip, m.port), c
}

func (m *callerVM) remove(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.flows, a.Port())
}
