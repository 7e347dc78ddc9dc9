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

// Conn is a TCP connection of a Stack. It supports half-close with CloseRead and CloseWrite.
type Conn struct {
	*gonet.TCPConn
	queue    *waiter.Queue
	endpoint tcpip.Endpoint
	// accepted is nil for a dialled connection.
	accepted *acceptedConns
	id       stack.TransportEndpointID
}

func newConn(queue *waiter.Queue, endpoint tcpip.Endpoint) *Conn {
	return &Conn{TCPConn: gonet.NewTCPConn(queue, endpoint), queue: queue, endpoint: endpoint}
}

// Close closes both directions; the stack still sends the data written before.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	if c.accepted != nil {
		c.accepted.removeWhenClosed(c)
	}
	return err
}

// WaitReadable waits until Read would not block. Unlike Read it needs no buffer, so that an idle connection holds none.
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

// Abort resets the connection: the peer receives a reset and unsent bytes are discarded. It is safe to call concurrently
// with reads and writes.
func (c *Conn) Abort() {
	c.endpoint.Abort()
	if c.accepted != nil {
		c.accepted.remove(c)
	}
}

const (
	// closingTime bounds the wait in state CLOSING. It allows for several retransmissions of a lost FIN.
	closingTime = 2 * time.Second
	// finWaitTime bounds the wait in state FIN-WAIT-2: everything was acknowledged, but the peer may keep its side open
	// indefinitely. It equals the default duration of TIME-WAIT.
	finWaitTime = DefaultTimeWait
)

// WaitClosed waits until the connection, on which Close or Abort was called, has nothing left to send, or until ctx ends.
// It polls, since gVisor sends no notification of that state.
//
// When both sides close simultaneously and the peer's ACK overtakes its FIN, gVisor applies the FIN's older
// acknowledgement number and stays in CLOSING forever, although everything was acknowledged. Packets sprayed over several
// paths are reordered like that, so the wait in CLOSING is bounded.
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

// maxWait returns the maximum wait in a state; only CLOSING and FIN-WAIT-2 have a limit.
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

// InTimeWait reports whether both sides have closed and only late segments of the peer are answered.
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
