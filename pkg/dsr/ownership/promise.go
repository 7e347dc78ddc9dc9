package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// maxPromises bounds the addresses whose promises are kept.
const maxPromises = 4096

// promise is what the route of an address promises to callers, as balancers describe it with new flows.
type promise struct {
	// configuration is the version that the promise was named under.
	configuration uint64
	priority      int
	aim, timeout  time.Duration
}

// learnPromise takes the promise of an address from a balancer's new flow. A change acts on what already waits; a
// promise of an earlier configuration is ignored.
func (t *Table) learnPromise(m *dsrpb.Message, destination netip.AddrPort) {
	last, known := t.promises[destination]
	if m.Opening == nil || m.Configuration < last.configuration {
		return
	}
	p := promise{
		configuration: m.Configuration,
		priority:      int(m.Opening.Priority),
		aim:           time.Duration(m.Opening.AimMs) * time.Millisecond,
		timeout:       DefaultTimeout,
	}
	if m.Opening.PatienceMs > 0 {
		p.timeout = time.Duration(m.Opening.PatienceMs) * time.Millisecond
	}
	if !known && len(t.promises) >= maxPromises {
		clear(t.promises)
	}
	t.promises[destination] = p
	t.summarizePromises()
	if known && !last.same(p) {
		t.queue.Promise(destination, p.priority, p.aim, p.timeout)
	}
}

// summarizePromises sets the least promised time and the lowest priority of all addresses.
func (t *Table) summarizePromises() {
	t.leastAim, t.lowestPriority = 0, 0
	for _, p := range t.promises {
		t.lowestPriority = max(t.lowestPriority, p.priority)
		if p.aim > 0 && (t.leastAim == 0 || p.aim < t.leastAim) {
			t.leastAim = p.aim
		}
	}
}

// same reports whether two promises differ in their configuration only.
func (p promise) same(other promise) bool {
	return p.priority == other.priority && p.aim == other.aim && p.timeout == other.timeout
}
