package peer

import (
	"context"
	"net"
)

// countedConn counts the bytes of a connection, including the overhead of TLS.
type countedConn struct {
	net.Conn
	budget *budget
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.budget.received.Inc(int64(n))
	c.budget.spend(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.budget.sent.Inc(int64(n))
	c.budget.spend(n)
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	budget *budget
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, budget: l.budget}, nil
}

type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// counted returns a dial function that counts the bytes of its connections in b.
func (f dialFunc) counted(b *budget) dialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := f(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, budget: b}, nil
	}
}
