package request

import (
	"net"
	"sync"
)

// connListener is a net.Listener whose connections come from deliver.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// deliver passes one connection to Accept; false means that the listener is closed.
func (l *connListener) deliver(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and deliver return.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an empty address: the connections come from the agent's own TCP stack.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
