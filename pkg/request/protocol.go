package request

import (
	"strings"
	"time"
)

// http2PrefaceStart begins the connection preface of HTTP/2 (RFC 9113, section 3.4); no method of HTTP/1.1 begins so.
const http2PrefaceStart = "PRI"

// detectHTTP2 waits for the first bytes of the caller and tells the protocol by them. An error means that none came.
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
