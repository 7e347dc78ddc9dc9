package flows

import (
	"io"
	"net"
)

// linkedConn closes the request body together with the connection. Otherwise http.Transport waits forever for a body that
// itself waits for the response.
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
