package flows

import (
	"io"
	"net"
)

// linkedConn closes the request's body with the connection. Without that, http.Transport waits for ever for a body that
// still waits for the answer.
type linkedConn struct {
	net.Conn
	body io.Reader
}

// Close closes the connection and the body.
func (c *linkedConn) Close() error {
	if body, ok := c.body.(io.Closer); ok {
		_ = body.Close()
	}
	return c.Conn.Close()
}
