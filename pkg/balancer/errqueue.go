package balancer

import (
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/errqueue"
)

// configureSocket enlarges the socket's buffers and enables the error queue, which gives the addresses of hosts that
// refused a datagram. Both are best effort, so errors are ignored.
func (b *Balancer) configureSocket() {
	_ = b.conn.SetReadBuffer(DefaultSocketBuffer)
	_ = b.conn.SetWriteBuffer(DefaultSocketBuffer)
	errqueue.Enable(b.conn)
}

// drainErrors drains the socket's error queue and reports each agent whose host refused a datagram.
func (b *Balancer) drainErrors() { errqueue.Drain(b.conn, b.agentUnreachable) }

func (b *Balancer) agentUnreachable(agent netip.AddrPort) {
	k := encodeAgent(agent)
	t := b.table.Load()
	if t == nil || !t.hasAgent(k) {
		return
	}
	if !b.suspects.add(k, b.deps.Now()) {
		return
	}
	b.metrics.unreachable.Inc(1)
	b.deps.Log.Warn().Str("op", "unreachable").Stringer("peer", agent).Str("reason", "connection-refused").Msg("")
	b.deps.OnUnreachable(agent)
}

func (t *table) hasAgent(k agentKey) bool {
	for _, r := range t.services {
		if r.hasAgent(k) {
			return true
		}
	}
	return false
}
