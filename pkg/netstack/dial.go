package netstack

import (
	"context"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// DialTCP opens a TCP connection from local, whose port may be 0, to remote. The connection is a *Conn. The error has
// both addresses; it wraps ctx's error when ctx ends first.
func (s *Stack) DialTCP(ctx context.Context, local, remote netip.AddrPort) (net.Conn, error) {
	var queue waiter.Queue
	endpoint, terr := s.stack.NewEndpoint(tcp.ProtocolNumber, networkOf(remote.Addr()), &queue)
	if terr != nil {
		return nil, dialError("endpoint", local, remote, terr)
	}
	s.setSocketOptions(endpoint)
	if terr := endpoint.Bind(fullAddress(local)); terr != nil {
		endpoint.Close()
		return nil, dialError("bind", local, remote, terr)
	}
	entry, ready := waiter.NewChannelEntry(waiter.WritableEvents | waiter.EventErr | waiter.EventHUp)
	queue.EventRegister(&entry)
	defer queue.EventUnregister(&entry)
	terr = endpoint.Connect(fullAddress(remote))
	if _, ok := terr.(*tcpip.ErrConnectStarted); ok {
		select {
		case <-ctx.Done():
			endpoint.Abort()
			return nil, trace.Wrap(ctx.Err(), "dial %v from %v", remote, local)
		case <-ready:
			terr = endpoint.LastError()
		}
	}
	if terr != nil {
		endpoint.Close()
		return nil, dialError("connect", local, remote, terr)
	}
	return newConn(&queue, endpoint), nil
}

// DialUDP returns a UDP socket from local, whose port may be 0, connected to remote.
func (s *Stack) DialUDP(local, remote netip.AddrPort) (net.Conn, error) {
	l, r := fullAddress(local), fullAddress(remote)
	conn, err := gonet.DialUDP(s.stack, &l, &r, networkOf(remote.Addr()))
	if err != nil {
		return nil, trace.Wrap(err, "dial UDP %v from %v", remote, local)
	}
	return conn, nil
}

func dialError(step string, local, remote netip.AddrPort, err tcpip.Error) error {
	return trace.ConnectionProblem(nil, "%s %v from %v: %s", step, remote, local, err)
}
