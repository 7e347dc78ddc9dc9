package request

import (
	"strings"
	"time"
)

// prefaceStart begins the connection preface of HTTP/2 (RFC 9113, section 3.4); no method of HTTP/1.1 begins so.
const prefaceStart = "PRI"

// speaksHTTP2 waits for the first bytes of the caller and tells the protocol by them. An error means that none came.
func (c *flowConn) speaksHTTP2() (bool, error) {
	_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	b := make([]byte, len(prefaceStart))
	n := 0
	for n < len(b) && strings.HasPrefix(prefaceStart, string(b[:n])) {
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
	c.head = b[:n]
	return string(c.head) == prefaceStart, nil
}
