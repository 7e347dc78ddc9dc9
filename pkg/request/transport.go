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

// countingConn counts the bytes passed to the kernel, which shows whether any byte of a request may have been sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts at least one byte even when it fails: a part may have been sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(max(n, 1)))
	return n, err
}

// newTransport returns a transport that ignores proxy settings and requests no compression.
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
