package netstack

import (
	"net"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/udp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// ConnRequest is a caller's SYN that has not been answered. Exactly one of Accept, Reject and Ignore must be called.
type ConnRequest struct {
	// Key is the five-tuple, seen from the caller.
	Key     flow.Key
	stack   *Stack
	request *tcp.ForwarderRequest
}

// Accept completes the handshake and blocks until the caller has answered. The connection is a *Conn.
func (a ConnRequest) Accept() (net.Conn, error) {
	var queue waiter.Queue
	id := a.request.ID()
	endpoint, terr := a.request.CreateEndpoint(&queue)
	if terr != nil {
		a.request.Complete(false)
		return nil, trace.ConnectionProblem(nil, "handshake with caller %v: %s", a.Key.Source, terr)
	}
	a.request.Complete(false)
	a.stack.setSocketOptions(endpoint)
	c := newConn(&queue, endpoint)
	a.stack.accepted.add(c, id)
	return c, nil
}

// Reject answers the caller with a reset.
func (a ConnRequest) Reject() { a.request.Complete(true) }

// Ignore sends no answer; the caller retransmits the SYN.
func (a ConnRequest) Ignore() { a.request.Complete(false) }

// AcceptTCP sets the handler of SYNs that belong to no connection. Each call of the handler has its own goroutine; a
// retransmitted SYN is ignored until the handler has answered.
func (s *Stack) AcceptTCP(handler func(ConnRequest)) {
	f := tcp.NewForwarder(s.stack, s.config.Buffer, maxInFlight, func(r *tcp.ForwarderRequest) {
		handler(ConnRequest{Key: keyOf(r.ID(), flow.ProtocolTCP), stack: s, request: r})
	})
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
}

// HandleUDP sets the handler of UDP datagrams that belong to no socket. The handler receives a socket connected to the
// caller, with the first datagram queued, and must close it eventually. It runs within Inject and must not block.
func (s *Stack) HandleUDP(handler func(key flow.Key, conn net.Conn)) {
	f := udp.NewForwarder(s.stack, func(r *udp.ForwarderRequest) bool {
		var queue waiter.Queue
		endpoint, terr := r.CreateEndpoint(&queue)
		if terr != nil {
			return true
		}
		handler(keyOf(r.ID(), flow.ProtocolUDP), gonet.NewUDPConn(&queue, endpoint))
		return true
	})
	s.stack.SetTransportProtocolHandler(udp.ProtocolNumber, func(id stack.TransportEndpointID, p *stack.PacketBuffer) bool {
		return f.HandlePacket(id, p)
	})
}
