package control

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// boundary dials the connections between balancers and can simulate a network partition between regions.
type boundary struct {
	mu      sync.Mutex
	cut     bool
	regions map[string]string
	conns   []net.Conn
}

func newBoundary() *boundary { return &boundary{regions: make(map[string]string)} }

// place registers the region of a control address.
func (b *boundary) place(addr, region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regions[addr] = region
}

// dialer returns the dial function of a balancer in the region.
func (b *boundary) dialer(region string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if b.blocked(region, addr) {
			return nil, trace.ConnectionProblem(nil, "region %s is partitioned from %s", region, addr)
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		b.track(region, addr, c)
		return c, nil
	}
}

func (b *boundary) blocked(region, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut && b.regions[addr] != region
}

func (b *boundary) track(region, addr string, c net.Conn) {
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

// setCut starts or ends the partition and closes the open connections between regions.
func (b *boundary) setCut(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.conns = nil
}
