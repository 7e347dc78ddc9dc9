package netstack

import (
	"context"
	"math"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// Conn is a TCP connection of a Stack. It has CloseRead and CloseWrite for half-close.
type Conn struct {
	*gonet.TCPConn
	queue    *waiter.Queue
	endpoint tcpip.Endpoint
	// accepted is nil for a connection that was dialled.
	accepted *acceptedConns
	id       stack.TransportEndpointID
}

func newConn(queue *waiter.Queue, endpoint tcpip.Endpoint) *Conn {
	return &Conn{TCPConn: gonet.NewTCPConn(queue, endpoint), queue: queue, endpoint: endpoint}
}

// Close closes both ways; the stack still sends what was written.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	if c.accepted != nil {
		c.accepted.removeWhenClosed(c)
	}
	return err
}

// WaitReadable waits until Read would not block. It needs no buffer, so that an idle connection holds none.
func (c *Conn) WaitReadable() {
	if c.endpoint.Readiness(waiter.ReadableEvents) != 0 {
		return
	}
	entry, ready := waiter.NewChannelEntry(waiter.ReadableEvents | waiter.EventErr | waiter.EventHUp)
	c.queue.EventRegister(&entry)
	defer c.queue.EventUnregister(&entry)
	for c.endpoint.Readiness(waiter.ReadableEvents) == 0 {
		<-ready
	}
}

// Abort resets the connection: the peer sees a reset and unsent bytes are lost. It may be called at any time, also
// while other goroutines read and write.
func (c *Conn) Abort() {
	c.endpoint.Abort()
	if c.accepted != nil {
		c.accepted.remove(c)
	}
}

const (
	// closingTime bounds the wait in state CLOSING. It is longer than several retransmissions of a lost FIN.
	closingTime = 2 * time.Second
	// finWaitTime bounds the wait in state FIN-WAIT-2: everything was acknowledged, and the peer may keep its side open
	// for as long as it likes. It is as long as the wait of a closed connection for late packets.
	finWaitTime = DefaultTimeWait
)

// WaitClosed waits until the connection, on which Close or Abort was called, has nothing left to send, or until ctx ends.
// The stack tells nobody of that state, so that it is polled.
//
// When both sides close at once and the peer's ACK overtakes its FIN, the stack takes the FIN's older acknowledgement for
// the last word and stays in CLOSING for ever, although all was acknowledged. Packets that are sprayed over several ways
// do overtake each other.
func (c *Conn) WaitClosed(ctx context.Context) {
	const maxPause = 50 * time.Millisecond
	pause := time.Millisecond
	timer := time.NewTimer(pause)
	defer timer.Stop()
	var last tcp.EndpointState
	var since time.Time
	for !c.isFinished() {
		state := tcp.EndpointState(c.endpoint.State())
		if state != last {
			last, since = state, time.Now()
		}
		if time.Since(since) >= maxWait(state) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		pause = min(2*pause, maxPause)
		timer.Reset(pause)
	}
}

// maxWait bounds the wait in a state in which nothing is left to send.
func maxWait(s tcp.EndpointState) time.Duration {
	switch s {
	case tcp.StateClosing:
		return closingTime
	case tcp.StateFinWait2:
		return finWaitTime
	}
	return math.MaxInt64
}

func (c *Conn) isFinished() bool {
	return c.isClosed() || c.InTimeWait()
}

func (c *Conn) inClosing() bool {
	return tcp.EndpointState(c.endpoint.State()) == tcp.StateClosing
}

func (c *Conn) isClosed() bool {
	state := tcp.EndpointState(c.endpoint.State())
	return state == tcp.StateClose || state == tcp.StateError
}

// InTimeWait reports whether the connection is over on both sides and only answers late segments of the peer.
func (c *Conn) InTimeWait() bool {
	return tcp.EndpointState(c.endpoint.State()) == tcp.StateTimeWait
}

func (s *Stack) setSocketOptions(endpoint tcpip.Endpoint) {
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
