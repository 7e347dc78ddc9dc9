package agent

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// taughtBalancers is the number of balancers that a flow remembers to have taught.
	taughtBalancers = 8
	// teachAgainAfter is the time after which a balancer that still sends to another agent is taught again.
	teachAgainAfter = time.Second
)

// taught remembers which balancers were told that a flow is owned here.
type taught struct {
	at   [taughtBalancers]time.Time
	by   [taughtBalancers]encodedAddr
	next uint8
}

// due reports whether a balancer should be told now, and remembers it.
func (t *taught) due(balancer encodedAddr, now time.Time) bool {
	for i := range t.by {
		if t.by[i] != balancer {
			continue
		}
		if now.Sub(t.at[i]) < teachAgainAfter {
			return false
		}
		t.at[i] = now
		return true
	}
	i := t.next % taughtBalancers
	t.by[i], t.at[i] = balancer, now
	t.next = i + 1
	return true
}

// teach tells the balancer that sent the packet first that this agent owns the flow, to save the hop next time.
func (a *Agent) teach(m *wire.Datagram, now time.Time) {
	if len(m.Balancer) != wire.AddrSize {
		return
	}
	f := a.registry.get(m.Flow)
	if f == nil {
		return
	}
	f.mu.Lock()
	due := f.taught.due(encodedAddr(m.Balancer), now)
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
