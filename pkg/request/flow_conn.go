package request

import (
	"net"
	"sync"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// flowConn is a caller's connection with the key of its flow; closed is closed with it.
type flowConn struct {
	net.Conn
	key    flow.Key
	closed chan struct{}
	once   sync.Once
}

func newFlowConn(c net.Conn, key flow.Key) *flowConn {
	return &flowConn{Conn: c, key: key, closed: make(chan struct{})}
}

// Close closes the connection and wakes up ServeFlow.
func (c *flowConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closed) })
	return err
}
