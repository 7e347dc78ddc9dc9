package agent

import (
	"maps"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// pastSenderTime is how long an agent that left the view is still heard. Views are uneven, and a drained agent goes on
	// forwarding for some seconds after it has left.
	pastSenderTime = 30 * time.Second
	// strangerHops is the highest number of agents that a packet may have passed when an agent that is not in the view
	// sends it on.
	strangerHops = 2
)

// senders is an immutable set of the agents that may speak of flows: those of the present view and of recent ones.
type senders struct {
	present map[netip.AddrPort]struct{}
	past    map[netip.AddrPort]time.Time
}

// next returns the set for a newer view; nil means that there is no view any more.
func (s *senders) next(v *view.Service, now time.Time) *senders {
	n := &senders{present: map[netip.AddrPort]struct{}{}, past: map[netip.AddrPort]time.Time{}}
	if v != nil {
		for i := range v.Targets {
			n.present[v.Targets[i].Agent] = struct{}{}
		}
	}
	if s == nil {
		return n
	}
	maps.Copy(n.past, s.past)
	for a := range s.present {
		n.past[a] = now.Add(pastSenderTime)
	}
	maps.DeleteFunc(n.past, func(a netip.AddrPort, until time.Time) bool {
		_, present := n.present[a]
		return present || !now.Before(until)
	})
	return n
}

// knows reports whether the agent at an address is or was of late in the view.
func (s *senders) knows(a netip.AddrPort, now time.Time) bool {
	if s == nil {
		return false
	}
	if _, ok := s.present[a]; ok {
		return true
	}
	until, ok := s.past[a]
	return ok && now.Before(until)
}

// mayPass reports whether a datagram with a packet may be acted on. A balancer is in no view; its packets have passed no
// agent. A packet that a stranger passed on is taken only while it says nothing of who owns the flow, since the stranger
// may be an agent that joined a moment ago. Only agents of the service offer flows.
func (a *Agent) mayPass(m *wire.Datagram, info packet.Info, from netip.AddrPort, now time.Time) bool {
	forwarded := m.Kind == wire.Kind_KIND_FORWARD
	if forwarded && m.Hops == 0 {
		return true
	}
	if a.senders.Load().knows(from, now) {
		return true
	}
	if !forwarded {
		return false
	}
	return a.arbiter.Owns(m.Flow) || !m.Final && !info.Opening && m.Hops <= strangerHops
}

// hold keeps a stranger's datagram until a view names its sender.
func (a *Agent) hold(in []byte, from netip.AddrPort, now time.Time) {
	a.metrics.stranger.Inc(1)
	if !a.held.add(in, from, now) {
		a.metrics.foreign.Inc(1)
	}
}

// hearHeld handles the datagrams whose senders a new view names.
func (a *Agent) hearHeld(now time.Time) {
	s := a.senders.Load()
	late := a.held.take(func(from netip.AddrPort) bool { return s.knows(from, now) }, now)
	if len(late) == 0 {
		return
	}
	w := newWorker(a)
	for _, d := range late {
		w.handle(d.bytes, d.from, now)
	}
}
