package soak

import (
	"net"
	"sync"
	"time"
)

// linkMode is how a proxy treats connections.
type linkMode int

// Modes of a proxy.
const (
	linkPasses linkMode = iota
	// linkRefuses resets new and open connections.
	linkRefuses
	// linkSilent accepts connections and forwards nothing in either direction.
	linkSilent
	// linkOneWay forwards requests and drops answers.
	linkOneWay
	// linkSlow delays each chunk of an answer by slowDelay.
	linkSlow
	linkModes
)

const slowDelay = 300 * time.Millisecond

// proxy forwards connections of a daemon to the object API, subject to its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode of all connections, including open ones.
func (p *proxy) set(m linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == linkRefuses {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkRefuses)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == linkRefuses {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.copy(server, client, false)
	p.copy(client, server, true)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards data in one direction, subject to the mode, until either connection is closed.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()   //nolint:errcheck // The other direction ends with this one.
	defer from.Close() //nolint:errcheck // The other direction ends with this one.
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case m == linkSilent, m == linkOneWay && answers:
			continue
		case m == linkSlow && answers:
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
