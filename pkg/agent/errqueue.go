package agent

import (
	"errors"
	"net/netip"
	"syscall"

	"github.com/auburnwood/auburnwood/pkg/errqueue"
)

// refusedPacket reports whether the error of the packet socket says that a host refused an earlier datagram; if so, the
// arbiter has been told of the agents concerned.
func (a *Agent) refusedPacket(err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	errqueue.Drain(a.conn, func(to netip.AddrPort) {
		a.metrics.peerRefused.Inc(1)
		a.arbiter.Unreachable(a.deps.Now(), to)
	})
	return true
}
