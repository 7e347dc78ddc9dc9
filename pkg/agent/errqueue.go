package agent

import (
	"errors"
	"net/netip"
	"syscall"

	"github.com/auburnwood/auburnwood/pkg/errqueue"
)

// reportUnreachable reports whether the packet socket's error says that a host refused an earlier datagram. If so, it
// has passed the addresses of the agents concerned to the arbiter.
func (a *Agent) reportUnreachable(err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	errqueue.Drain(a.conn, func(to netip.AddrPort) {
		a.metrics.peerRefused.Inc(1)
		a.arbiter.Unreachable(a.deps.Now(), to)
	})
	return true
}
