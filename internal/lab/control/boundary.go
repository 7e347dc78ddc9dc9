package control

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// boundary opens the balancers' connections to each other and can cut those between regions.
type boundary struct {
	mu      sync.Mutex
	cut     bool
	regions map[string]string
	conns   []net.Conn
}

func newBoundary() *boundary { return &boundary{regions: make(map[string]string)} }

// place notes the region of a control address.
func (b *boundary) place(addr, region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regions[addr] = region
}

// dialer returns the dialer of a balancer in a region.
func (b *boundary) dialer(region string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if b.blocked(region, addr) {
			return nil, trace.ConnectionProblem(nil, "no way from region %s to %s", region, addr)
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		b.keep(region, addr, c)
		return c, nil
	}
}

func (b *boundary) blocked(region, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut && b.regions[addr] != region
}

func (b *boundary) keep(region, addr string, c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.regions[addr] == region {
		return
	}
	if b.cut {
		_ = c.Close()
		return
	}
	b.conns = append(b.conns, c)
}

// set cuts the regions apart or joins them again.
func (b *boundary) set(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.conns = nil
}
