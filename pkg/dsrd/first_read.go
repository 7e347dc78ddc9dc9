package dsrd

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

// firstReaders is the number of balancers that read the object API at once when all restart together. The others are told
// by them: if all read, the calls of a restart would grow with the number of balancers.
const firstReaders = 16

// firstRead tells whether a balancer that has just started reads the object API at once or waits to be told.
type firstRead struct {
	once    sync.Once
	decided chan struct{}
	// first is valid once decided is closed.
	first bool
}

func newFirstRead() *firstRead { return &firstRead{decided: make(chan struct{})} }

// decide sets the decision; only the first call counts.
func (r *firstRead) decide(first bool) {
	r.once.Do(func() {
		r.first = first
		close(r.decided)
	})
}

// isFirst reports whether the balancer reads at once, as far as that is decided.
func (r *firstRead) isFirst() bool {
	select {
	case <-r.decided:
		return r.first
	default:
		return false
	}
}

// await returns when it is decided, after startWait at the latest, or when the context ends.
func (r *firstRead) await(ctx context.Context) {
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-r.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isSeed reports whether the settings of the processes name this balancer, or no other one. Others wait for it at a start.
func isSeed(self netip.AddrPort, seeds []netip.AddrPort) bool {
	return !slices.ContainsFunc(seeds, func(a netip.AddrPort) bool { return a != self }) || slices.Contains(seeds, self)
}

// isFirstReader reports whether a balancer is one of the firstReaders among those registered, of which all balancers see the
// same part.
func isFirstReader(self netip.AddrPort, registered []netip.AddrPort) bool {
	if len(registered) == 0 {
		return true
	}
	if !slices.Contains(registered, self) {
		return false
	}
	before := 0
	for _, a := range registered {
		if flow.AddrHash(a) < flow.AddrHash(self) {
			before++
		}
	}
	return before < firstReaders
}
