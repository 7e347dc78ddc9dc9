package peer

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// newCredentials returns the transport credentials of both sides.
func newCredentials(c TLSConfig, log zerolog.Logger) (credentials.TransportCredentials, error) {
	config, err := c.Load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if config == nil {
		return insecure.NewCredentials(), nil
	}
	return &loggedCredentials{TransportCredentials: credentials.NewTLS(config), log: log}, nil
}

// loggedCredentials logs each peer that is refused because of its certificate.
type loggedCredentials struct {
	credentials.TransportCredentials
	log zerolog.Logger
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *loggedCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secure, info, err := c.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		c.log.Warn().Str("op", "accept peer").Str("peer", conn.RemoteAddr().String()).Str("reason", err.Error()).Msg("peer refused")
	}
	return secure, info, err
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *loggedCredentials) ClientHandshake(ctx context.Context, name string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secure, info, err := c.TransportCredentials.ClientHandshake(ctx, name, conn)
	if err != nil {
		c.log.Warn().Str("op", "call peer").Str("peer", conn.RemoteAddr().String()).Str("reason", err.Error()).Msg("peer refused")
	}
	return secure, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *loggedCredentials) Clone() credentials.TransportCredentials {
	return &loggedCredentials{TransportCredentials: c.TransportCredentials.Clone(), log: c.log}
}
