package peer

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// newCredentials returns transport credentials for both servers and clients.
func newCredentials(c TLSConfig, log zerolog.Logger) (credentials.TransportCredentials, error) {
	config, err := c.Load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if config == nil {
		return insecure.NewCredentials(), nil
	}
	return &loggingCredentials{TransportCredentials: credentials.NewTLS(config), log: log}, nil
}

// loggingCredentials logs each failed TLS handshake.
type loggingCredentials struct {
	credentials.TransportCredentials
	log zerolog.Logger
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *loggingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secure, info, err := c.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		c.log.Warn().Str("op", "accept peer").Str("peer", conn.RemoteAddr().String()).Str("reason", err.Error()).Msg("peer refused")
	}
	return secure, info, err
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *loggingCredentials) ClientHandshake(ctx context.Context, name string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secure, info, err := c.TransportCredentials.ClientHandshake(ctx, name, conn)
	if err != nil {
		c.log.Warn().Str("op", "call peer").Str("peer", conn.RemoteAddr().String()).Str("reason", err.Error()).Msg("peer refused")
	}
	return secure, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *loggingCredentials) Clone() credentials.TransportCredentials {
	return &loggingCredentials{TransportCredentials: c.TransportCredentials.Clone(), log: c.log}
}
