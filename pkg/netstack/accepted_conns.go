package netstack

import (
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
)

// acceptedConns tracks the accepted connections, so that a caller can open a new connection while an old one with the
// same ports is in TIME-WAIT (RFC 9293, section 3.10.7.4). gVisor supports that for listeners, but not for its forwarder.
type acceptedConns struct {
	timeWait time.Duration
	conns    sync.Map
}

func (a *acceptedConns) add(c *Conn, id stack.TransportEndpointID) {
	c.accepted, c.id = a, id
	a.conns.Store(id, c)
}

func (a *acceptedConns) remove(c *Conn) { a.conns.CompareAndDelete(c.id, c) }

// removeWhenClosed removes a connection once its endpoint is closed. It aborts one that stays in CLOSING, which would
// never end by itself; see Conn.WaitClosed.
func (a *acceptedConns) removeWhenClosed(c *Conn) {
	if c.isClosed() {
		a.remove(c)
		return
	}
	closing := c.inClosing()
	time.AfterFunc(a.timeWait, func() {
		if closing && c.inClosing() {
			c.Abort()
			return
		}
		a.removeWhenClosed(c)
	})
}

// abortTimeWait aborts the connection in TIME-WAIT, if any, with the addresses and ports of a SYN.
func (a *acceptedConns) abortTimeWait(packet []byte) {
	source, destination, segment, ok := tcpOf(packet)
	if !ok || segment.Flags()&(header.TCPFlagSyn|header.TCPFlagAck) != header.TCPFlagSyn {
		return
	}
	id := stack.TransportEndpointID{
		LocalPort:     segment.DestinationPort(),
		LocalAddress:  destination,
		RemotePort:    segment.SourcePort(),
		RemoteAddress: source,
	}
	c, ok := a.conns.Load(id)
	if ok && c.(*Conn).InTimeWait() {
		c.(*Conn).Abort()
	}
}
