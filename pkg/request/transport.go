package request

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 5 * time.Second
	copyBufferSize     = 32 << 10
	maxResponseHeaders = 64 << 10
	maxIdleConns       = 64
	continueTimeout    = time.Minute
	peerIdleConns      = 16
	peerResponseLimit  = 64 << 10
)

// countingConn counts the bytes that were given to the kernel, so that a request that never left is known.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts an attempt as written even when it fails: a part may have left.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(max(n, 1)))
	return n, err
}

// newTransport returns a transport that follows no proxy settings and asks for no compression.
func newTransport(dial DialFunc, idle int) *http.Transport {
	counted := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	return &http.Transport{
		DialContext:            counted,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaders,
		WriteBufferSize:        copyBufferSize,
		ReadBufferSize:         copyBufferSize,
		ExpectContinueTimeout:  continueTimeout,
	}
}
