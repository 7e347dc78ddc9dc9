package request

import (
	"strings"
	"time"
)

// http2PrefaceStart is the start of the HTTP/2 connection preface (RFC 9113, section 3.4); no HTTP/1.1 method starts
// with it.
const http2PrefaceStart = "PRI"

// detectHTTP2 waits for the first bytes from the caller and reports whether they start the HTTP/2 preface. It returns
// an error when the connection fails before the first byte.
func (c *flowConn) detectHTTP2() (bool, error) {
	_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	b := make([]byte, len(http2PrefaceStart))
	n := 0
	for n < len(b) && strings.HasPrefix(http2PrefaceStart, string(b[:n])) {
		m, err := c.Read(b[n:])
		n += m
		if err != nil && n == 0 {
			return false, err
		}
		if err != nil {
			break
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	c.sniffed = b[:n]
	return string(c.sniffed) == http2PrefaceStart, nil
}
