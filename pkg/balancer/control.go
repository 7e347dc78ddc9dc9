package balancer

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// control handles a datagram that is not an IP packet. It accepts only the owner of a flow, sent by an agent of the
// flow's service and naming an agent of that service; anything else is counted and dropped.
func (w *worker) control(in []byte, from netip.AddrPort, now time.Time) {
	var m wire.Datagram
	if err := m.UnmarshalVTUnsafe(in); err != nil {
		w.b.metrics.foreign.Inc(1)
		return
	}
	if !w.learn(&m, from, now) {
		w.b.metrics.foreign.Inc(1)
	}
}

func (w *worker) learn(m *wire.Datagram, from netip.AddrPort, now time.Time) bool {
	t := w.b.table.Load()
	if t == nil || m.Kind != wire.Kind_KIND_LEARNED || len(m.Owner) != wire.AddrSize {
		return false
	}
	r := t.services[m.Service]
	owner := agentKey(m.Owner)
	if r == nil || !r.hasAgent(encodeAgent(from)) || !r.hasAgent(owner) {
		return false
	}
	w.b.cache.learn(m.Flow, owner, now, w.b.cfg.CacheTime)
	w.b.metrics.learned.Inc(1)
	return true
}
