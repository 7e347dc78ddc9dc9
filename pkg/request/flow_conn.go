package request

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// lingerTimeout is how long a closing connection continues to read what its caller sends. Closing a connection with
	// unread bytes resets it, and a reset discards the part of the response that is still in transit.
	lingerTimeout     = time.Second
	discardBufferSize = 1 << 10
)

// flowConn is a caller's connection with its flow key; the channel closed is closed together with it.
type flowConn struct {
	net.Conn
	key    flow.Key
	closed chan struct{}
	once   sync.Once
	// serverCtx ends when the server closes, which ends lingering.
	serverCtx context.Context
	// sniffed holds the bytes read for protocol detection; only readers use it.
	sniffed []byte

	mu sync.Mutex
	// idleSince is zero while a request is in progress.
	idleSince time.Time
	retired   bool
}

func newFlowConn(serverCtx context.Context, c net.Conn, key flow.Key, now time.Time) *flowConn {
	return &flowConn{Conn: c, key: key, closed: make(chan struct{}), serverCtx: serverCtx, idleSince: now}
}

// Read reads what the caller sends. After retire it discards everything until the caller closes, and returns io.EOF.
func (c *flowConn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if !c.markActive(n) {
		return n, err
	}
	for err == nil {
		_, err = c.Conn.Read(b)
	}
	return 0, io.EOF
}

func (c *flowConn) read(b []byte) (int, error) {
	if len(c.sniffed) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.sniffed)
	c.sniffed = c.sniffed[n:]
	return n, nil
}

// markActive records that a request is in progress, and reports whether the connection was already retired.
func (c *flowConn) markActive(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retired && n > 0 {
		c.idleSince = time.Time{}
	}
	return c.retired
}

// markIdle records that no request is in progress.
func (c *flowConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

// retire stops reading requests from a connection that has been idle for at least idleFor, so that a final response can
// be sent on it. It reports whether it retired the connection.
func (c *flowConn) retire(now time.Time, idleFor time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.idleSince.IsZero() || now.Sub(c.idleSince) < idleFor {
		return false
	}
	c.retired = true
	return true
}

// CloseWrite closes the sending side; net/http calls it too.
func (c *flowConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}

// Close closes the sending side at once, and the connection when the caller has closed too or the linger timeout has
// passed. Then ServeFlow returns.
func (c *flowConn) Close() error {
	c.once.Do(func() { go c.linger() })
	return nil
}

func (c *flowConn) linger() {
	defer close(c.closed)
	defer c.Conn.Close()
	if c.CloseWrite() != nil {
		return
	}
	stop := context.AfterFunc(c.serverCtx, func() { _ = c.Conn.Close() })
	defer stop()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	b := make([]byte, discardBufferSize)
	for {
		if _, err := c.Conn.Read(b); err != nil {
			return
		}
	}
}
