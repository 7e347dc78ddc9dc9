package fabric

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// members is the set of balancers that the fabric currently sends to.
type members struct {
	mu    sync.Mutex
	known atomic.Pointer[[]netip.AddrPort]
}

func (m *members) load() []netip.AddrPort {
	if p := m.known.Load(); p != nil {
		return *p
	}
	return nil
}

func (m *members) add(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.load()
	if slices.Contains(old, a) {
		return
	}
	next := append(slices.Clone(old), a)
	m.known.Store(&next)
}

func (m *members) remove(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(m.load()), func(b netip.AddrPort) bool { return a == b })
	m.known.Store(&next)
}
