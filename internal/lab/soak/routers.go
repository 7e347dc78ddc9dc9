package soak

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

// Times of the readiness checks.
const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	// missesUntilDown is the number of consecutive failed checks that take a balancer out of rotation.
	missesUntilDown = 2
)

// entry is the routers' state of a balancer.
type entry struct {
	packets    netip.AddrPort
	ready      string
	misses     int
	inRotation bool
}

// routers distribute packets over the balancers in rotation by rendezvous hashing: only the flows of a balancer that
// leaves move.
type routers struct {
	mu      sync.Mutex
	entries []*entry
}

func (r *routers) add(packets netip.AddrPort, ready string) {
	e := &entry{packets: packets, ready: ready}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
}

// check polls the readiness of a balancer until ctx ends.
func (r *routers) check(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, checkTimeout)
		err := platformtest.Ready(call, e.ready)
		cancel()
		r.mu.Lock()
		if err == nil {
			e.misses, e.inRotation = 0, true
		} else if e.misses++; e.misses >= missesUntilDown {
			e.inRotation = false
		}
		r.mu.Unlock()
		_ = wait.For(ctx, checkInterval)
	}
}

// route returns the balancer for a packet. If fewer than half are in rotation, all are used.
func (r *routers) route(from, to netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inRotation := 0
	for _, e := range r.entries {
		if e.inRotation {
			inRotation++
		}
	}
	hash := flow.Key{Source: from, Destination: to, Protocol: flow.ProtocolTCP}.Hash()
	var best *entry
	var highest uint64
	for i, e := range r.entries {
		if 2*inRotation >= len(r.entries) && !e.inRotation {
			continue
		}
		if score := flow.Mix(hash + uint64(i)*0x9e3779b97f4a7c15); best == nil || score > highest {
			best, highest = e, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.packets, true
}
