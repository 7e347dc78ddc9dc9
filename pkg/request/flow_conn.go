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
	// lingerTimeout is how long a closing connection goes on reading what its caller still sends. A connection that is
	// closed with unread bytes is reset, and a reset destroys the part of an answer that is still on its way.
	lingerTimeout = time.Second
	// discardBufferSize is the size of the buffer for bytes that nobody reads.
	discardBufferSize = 1 << 10
)

// flowConn is a caller's connection with the key of its flow; closed is closed with it.
type flowConn struct {
	net.Conn
	key    flow.Key
	closed chan struct{}
	once   sync.Once
	// serverCtx ends with the server; there is no lingering after that.
	serverCtx context.Context
	// sniffed is what was read to tell the protocol; only readers use it.
	sniffed []byte

	mu sync.Mutex
	// idleSince is zero while a request is under way.
	idleSince time.Time
	retired   bool
}

func newFlowConn(serverCtx context.Context, c net.Conn, key flow.Key, now time.Time) *flowConn {
	return &flowConn{Conn: c, key: key, closed: make(chan struct{}), serverCtx: serverCtx, idleSince: now}
}

// Read reads what the caller sends. After retire it discards everything until the caller closes, and reports the end.
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

// markActive notes that a request is under way, and reports whether the connection was retired before.
func (c *flowConn) markActive(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retired && n > 0 {
		c.idleSince = time.Time{}
	}
	return c.retired
}

// markIdle notes that no request is under way.
func (c *flowConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

// retire takes the connection from its reader when it has been idle for the quiet time. From then on no request of it is
// read, so that its last answer may be sent.
func (c *flowConn) retire(now time.Time, idleFor time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.idleSince.IsZero() || now.Sub(c.idleSince) < idleFor {
		return false
	}
	c.retired = true
	return true
}

// CloseWrite ends the sending side; net/http uses it too.
func (c *flowConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}

// Close ends the sending side at once, and the connection when the caller has closed too or the linger time is over. It
// wakes up ServeFlow then.
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
