package netstack

import (
	"context"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// Conn is a TCP connection of a Stack. It has CloseRead and CloseWrite for half-close.
type Conn struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

func newConn(queue *waiter.Queue, endpoint tcpip.Endpoint) *Conn {
	return &Conn{TCPConn: gonet.NewTCPConn(queue, endpoint), endpoint: endpoint}
}

// Abort resets the connection: the peer sees a reset and unsent bytes are lost. It may be called at any time, also
// while other goroutines read and write.
func (c *Conn) Abort() { c.endpoint.Abort() }

// WaitClosed waits until the connection, on which Close or Abort was called, has nothing left to send, or until ctx ends.
// The stack tells nobody of that state, so that it is polled.
func (c *Conn) WaitClosed(ctx context.Context) {
	const longest = 50 * time.Millisecond
	pause := time.Millisecond
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for !c.silent() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		pause = min(2*pause, longest)
		timer.Reset(pause)
	}
}

func (c *Conn) silent() bool {
	switch tcp.EndpointState(c.endpoint.State()) {
	case tcp.StateClose, tcp.StateError, tcp.StateTimeWait:
		return true
	}
	return false
}

func (s *Stack) tune(endpoint tcpip.Endpoint) {
	timeout := tcpip.TCPUserTimeoutOption(s.config.UserTimeout)
	idle := tcpip.KeepaliveIdleOption(DefaultKeepalive)
	interval := tcpip.KeepaliveIntervalOption(DefaultKeepalive)
	_ = endpoint.SetSockOpt(&timeout)
	_ = endpoint.SetSockOpt(&idle)
	_ = endpoint.SetSockOpt(&interval)
	_ = endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveTry)
	endpoint.SocketOptions().SetKeepAlive(true)
	endpoint.SocketOptions().SetDelayOption(false)
}
