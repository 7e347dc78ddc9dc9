package main

import (
	"net"
	"sync/atomic"
)

// proxy forwards TCP connections. While losing is set, it passes requests on, drops their answers and resets the connections.
type proxy struct {
	listener net.Listener
	target   string
	losing   atomic.Bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close() //nolint:errcheck // The connection ends here.
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	defer t.Close() //nolint:errcheck // The connection ends here.
	go forward(t, c)
	b := make([]byte, 8<<10)
	for {
		n, err := t.Read(b)
		if n > 0 && p.losing.Load() {
			// The answer is lost with its connection.
			_ = c.SetLinger(0)
			return
		}
		if _, werr := c.Write(b[:n]); werr != nil || err != nil {
			return
		}
	}
}

// forward copies bytes until either end closes.
func forward(to, from net.Conn) {
	b := make([]byte, 8<<10)
	for {
		n, err := from.Read(b)
		if _, werr := to.Write(b[:n]); werr != nil || err != nil {
			return
		}
	}
}
