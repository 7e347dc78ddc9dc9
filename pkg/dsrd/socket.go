package dsrd

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

const (
	// maxDatagram is the largest UDP datagram over IPv4, in bytes.
	maxDatagram = 65507
	// readBuffer is the receive buffer requested from the kernel, in bytes: about a second of packets of a busy
	// balancer.
	readBuffer = 1 << 20
	// readPause is the pause after a failed read, so that a broken socket does not use up the processor.
	readPause = 10 * time.Millisecond
)

// socket is a bound UDP socket.
type socket struct {
	conn   *net.UDPConn
	log    zerolog.Logger
	unsent tally.Counter
	// failing is set while the last datagram could not be sent.
	failing atomic.Bool
}

func listenUDP(address netip.AddrPort, env telemetry.Env) (*socket, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err, "listening on UDP %s", address)
	}
	if err := c.SetReadBuffer(readBuffer); err != nil {
		env.Log.Warn().Err(err).Str("op", "listen").Stringer("address", address).Msg("receive buffer could not be enlarged")
	}
	return &socket{conn: c, log: env.Log, unsent: env.Scope.Counter("dsr_unsent_datagrams")}, nil
}

// read passes each datagram to handle until the context ends. The bytes are valid only during the call.
func (s *socket) read(ctx context.Context, handle func(from netip.AddrPort, b []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	b := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			s.log.Warn().Err(err).Str("op", "read").Stringer("address", s.conn.LocalAddr()).Msg("a datagram could not be read")
			time.Sleep(readPause)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
	}
}

func (s *socket) address() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// write sends a datagram. Senders repeat lost datagrams that matter, so an error is only counted, and the first of a
// series is logged.
func (s *socket) write(to netip.AddrPort, b []byte) {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	if err == nil {
		s.failing.Store(false)
		return
	}
	s.unsent.Inc(1)
	if !s.failing.Swap(true) {
		s.log.Warn().Err(err).Str("op", "send").Stringer("address", s.conn.LocalAddr()).Stringer("peer", to).Msg("a datagram could not be sent")
	}
}
