package request

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	dialTimeout       = time.Second
	idleTimeout       = 5 * time.Second
	copyBufferSize    = 32 << 10
	maxAnswerHeaders  = 64 << 10
	maxIdleConns      = 64
	continueTimeout   = time.Second
	peerIdleConns     = 16
	peerResponseLimit = 64 << 10
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

// newTargetTransport returns the transport to one target. It follows no proxy settings and asks for no compression.
func newTargetTransport(target netip.AddrPort) *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, err := d.DialContext(ctx, "tcp", target.String())
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaders,
		WriteBufferSize:        copyBufferSize,
		ReadBufferSize:         copyBufferSize,
		ExpectContinueTimeout:  continueTimeout,
	}
}
