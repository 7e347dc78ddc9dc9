package agentd

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// peerConn is the server side of a mutual TLS connection. It logs and closes the connection if the peer has no valid
// certificate.
type peerConn struct {
	*tls.Conn
	log  zerolog.Logger
	once sync.Once
	err  error
}

// Read runs the handshake before the first read.
func (c *peerConn) Read(b []byte) (int, error) {
	c.once.Do(c.handshake)
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(b)
}

// handshake runs the TLS handshake and closes the connection when it fails.
func (c *peerConn) handshake() {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	err := c.HandshakeContext(ctx)
	if err == nil {
		return
	}
	logHandshakeFailure(c.log, "accept peer", c.RemoteAddr(), err)
	_ = c.Close()
	c.err = trace.Wrap(err, "TLS handshake with %s", c.RemoteAddr())
}
