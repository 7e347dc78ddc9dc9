package agent

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// maxNotifiedBalancers is the number of balancers per flow for which the last notification is kept.
	maxNotifiedBalancers = 8
	// notifyInterval is the minimum time between two notifications of one balancer about a flow, in case one is lost.
	notifyInterval = time.Second
)

// notified records when balancers were last notified that this agent owns a flow.
type notified struct {
	at   [maxNotifiedBalancers]time.Time
	by   [maxNotifiedBalancers]encodedAddr
	next uint8
}

// due reports whether a balancer should be notified now and, if so, records the notification. When all slots are used,
// it replaces the one that was added first.
func (t *notified) due(balancer encodedAddr, now time.Time) bool {
	for i := range t.by {
		if t.by[i] != balancer {
			continue
		}
		if now.Sub(t.at[i]) < notifyInterval {
			return false
		}
		t.at[i] = now
		return true
	}
	i := t.next % maxNotifiedBalancers
	t.by[i], t.at[i] = balancer, now
	t.next = i + 1
	return true
}

// notifyBalancer sends the balancer that routed the packet the owner of the flow, so that later packets come here
// directly.
func (a *Agent) notifyBalancer(m *wire.Datagram, now time.Time) {
	if len(m.Balancer) != wire.AddrSize {
		return
	}
	f := a.registry.get(m.Flow)
	if f == nil {
		return
	}
	f.mu.Lock()
	due := f.notified.due(encodedAddr(m.Balancer), now)
	f.mu.Unlock()
	to, _ := wire.Addr(m.Balancer)
	if !due || to.Port() == 0 || to == a.addr {
		return
	}
	d := wire.Datagram{
		Kind:        wire.Kind_KIND_LEARNED,
		Service:     m.Service,
		Revision:    m.Revision,
		Flow:        m.Flow,
		Sender:      a.self[:],
		Owner:       a.self[:],
		Incarnation: a.cfg.Incarnation,
	}
	b, err := d.MarshalVT()
	if err != nil {
		return
	}
	a.metrics.learned.Inc(1)
	a.send(b, to)
}
