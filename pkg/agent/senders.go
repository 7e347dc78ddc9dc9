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
	// pastSenderTime is how long datagrams of an agent that left the view are still accepted. Processes don't receive
	// views at the same time, and a drained agent keeps forwarding for some seconds after it has left.
	pastSenderTime = 30 * time.Second
	// maxUnknownSenderHops is the highest hop count of a packet that is accepted from an agent outside the view.
	maxUnknownSenderHops = 2
)

// senders is an immutable set of the agents whose messages about flows are accepted: those of the present view, and
// those that left it within pastSenderTime.
type senders struct {
	present map[netip.AddrPort]struct{}
	past    map[netip.AddrPort]time.Time
}

// next returns the set for a newer view; nil means that there is no longer a view.
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

// contains reports whether the agent with the given address is in the view or left it recently.
func (s *senders) contains(a netip.AddrPort, now time.Time) bool {
	if s == nil {
		return false
	}
	if _, ok := s.present[a]; ok {
		return true
	}
	until, ok := s.past[a]
	return ok && now.Before(until)
}

// isAdmissible reports whether a datagram with a packet may be processed. Balancers are in no view, but their packets
// have a hop count of 0. A packet that an unknown sender forwarded is accepted if this agent owns the flow, or if it
// neither opens a flow nor claims ownership and is within maxUnknownSenderHops, since the sender may be an agent that
// has just joined. Only agents of the service may offer flows.
func (a *Agent) isAdmissible(m *wire.Datagram, info packet.Info, from netip.AddrPort, now time.Time) bool {
	forwarded := m.Kind == wire.Kind_KIND_FORWARD
	if forwarded && m.Hops == 0 {
		return true
	}
	if a.senders.Load().contains(from, now) {
		return true
	}
	if !forwarded {
		return false
	}
	return a.arbiter.Owns(m.Flow) || !m.Final && !info.Opening && m.Hops <= maxUnknownSenderHops
}

// hold buffers a datagram of an unknown sender until a view lists the sender.
func (a *Agent) hold(in []byte, from netip.AddrPort, now time.Time) {
	a.metrics.unknownSender.Inc(1)
	if !a.held.add(in, from, now) {
		a.metrics.foreign.Inc(1)
	}
}

// handleHeld handles the held datagrams whose senders are listed by a new view.
func (a *Agent) handleHeld(now time.Time) {
	s := a.senders.Load()
	late := a.held.take(func(from netip.AddrPort) bool { return s.contains(from, now) }, now)
	if len(late) == 0 {
		return
	}
	w := newWorker(a)
	for _, d := range late {
		w.handle(d.bytes, d.from, now)
	}
}
