package main

import (
	"context"
	"io"
	"net"
	"time"
)

// delayLine is a proxy for TCP connections to one address. While it is cut, it keeps what a client has sent, as a link does
// whose partition ends before the client's machine gives up; the client may have ended by then.
type delayLine struct {
	listener net.Listener
	to       string
	// healed is closed when the partition ends.
	healed chan struct{}
}

func newDelayLine(ctx context.Context, address, to string) (*delayLine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &delayLine{listener: l, to: to, healed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.carry(ctx, c)
		}
	}()
	return d, nil
}

func (d *delayLine) address() string { return d.listener.Addr().String() }

func (d *delayLine) heal() { close(d.healed) }

// carry passes one connection on. What the client sends is read at once and delivered after the partition.
func (d *delayLine) carry(ctx context.Context, c net.Conn) {
	defer c.Close() //nolint:errcheck // Nothing follows.
	sent := make(chan []byte, 64)
	go func() {
		defer close(sent)
		for {
			b := make([]byte, 4096)
			n, err := c.Read(b)
			if n > 0 {
				sent <- b[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	select {
	case <-d.healed:
	case <-ctx.Done():
		return
	}
	to, err := net.DialTimeout("tcp", d.to, time.Second)
	if err != nil {
		return
	}
	defer to.Close() //nolint:errcheck // Nothing follows.
	go func() {
		for b := range sent {
			if _, err := to.Write(b); err != nil {
				return
			}
		}
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(c, to)
	// An answer to a client that has ended is read, so that the connection is not reset before the daemon has answered.
	_, _ = io.Copy(io.Discard, to)
}
