package soak

import (
	"net"
	"sync"
	"time"
)

// linkMode is what a proxy does to connections.
type linkMode int

// Modes of a proxy.
const (
	linkPasses linkMode = iota
	// linkRefuses resets new connections and those that are open.
	linkRefuses
	// linkSilent accepts connections and passes nothing in either direction.
	linkSilent
	// linkOneWay passes requests and drops answers.
	linkOneWay
	// linkSlow holds each piece of an answer back for slowTime.
	linkSlow
	linkModes
)

const slowTime = 300 * time.Millisecond

// proxy stands between a daemon and the object API.
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

func (p *proxy) current() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode for all connections, open ones included.
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
		if p.current() == linkRefuses {
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

// copy passes what it reads on, as the mode says, until either end is closed.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()   //nolint:errcheck // The other direction ends with this one.
	defer from.Close() //nolint:errcheck // The other direction ends with this one.
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch m := p.current(); {
		case m == linkSilent, m == linkOneWay && answers:
			continue
		case m == linkSlow && answers:
			time.Sleep(slowTime)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
