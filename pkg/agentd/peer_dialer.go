package agentd

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

const (
	// peerDialTimeout bounds the dial of a TCP connection to another agent.
	peerDialTimeout = 2 * time.Second
	// handshakeTimeout bounds the TLS handshake on either side.
	handshakeTimeout = 5 * time.Second
)

// peerDialer opens mutual TLS connections to other agents and verifies their certificates.
type peerDialer struct {
	config *tls.Config
	log    zerolog.Logger
}

// DialContext implements request.DialFunc. It fails when the peer's certificate isn't valid for the host of address.
func (d *peerDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.Wrap(err, "address of agent %q", address)
	}
	tcp := net.Dialer{Timeout: peerDialTimeout}
	conn, err := tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err, "connect to agent %s", address)
	}
	return d.secure(ctx, conn, host)
}

// secure runs the TLS handshake on a connection to host, and closes the connection if that fails.
func (d *peerDialer) secure(ctx context.Context, conn net.Conn, host string) (net.Conn, error) {
	config := d.config.Clone()
	config.ServerName = host
	secure := tls.Client(conn, config)
	limit, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	err := secure.HandshakeContext(limit)
	if err == nil {
		return secure, nil
	}
	_ = conn.Close()
	// A cancelled call isn't a failure of the peer.
	if ctx.Err() == nil {
		logHandshakeFailure(d.log, "call peer", conn.RemoteAddr(), err)
	}
	return nil, trace.Wrap(err, "TLS handshake with agent %s", conn.RemoteAddr())
}

// logHandshakeFailure logs a failed handshake in the same form as the connections to balancers.
func logHandshakeFailure(log zerolog.Logger, op string, peer net.Addr, err error) {
	log.Warn().Str("op", op).Str("peer", peer.String()).Str("reason", err.Error()).Msg("peer refused")
}
