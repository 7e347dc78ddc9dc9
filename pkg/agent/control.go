package agent

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// control passes a message of another agent to the arbiter. The message must carry its source address as the sender and
// the agent's own service, and the sender must be in a current or recent view: only agents of the service decide on the
// ownership of flows. Messages of unknown senders are held until a view lists the sender.
func (a *Agent) control(m *wire.Datagram, in []byte, from netip.AddrPort, now time.Time) {
	sender, ok := wire.Addr(m.Sender)
	if !ok || sender != from {
		a.metrics.foreign.Inc(1)
		return
	}
	s := a.service.Load()
	if s != nil && m.Service != s.Name {
		a.metrics.wrongService.Inc(1)
		return
	}
	if s == nil || !a.senders.Load().contains(from, now) {
		a.hold(in, from, now)
		return
	}
	a.metrics.control.Inc(1)
	owner, _ := wire.Addr(m.Owner)
	a.sendAll(a.arbiter.Control(now, from, arbiter.Message{
		Kind:        m.Kind,
		Flow:        m.Flow,
		Flows:       m.Flows,
		Owner:       owner,
		Load:        m.Load,
		Incarnation: m.Incarnation,
		Final:       m.Final,
	}))
}

// sendAll sends the arbiter's messages, splitting long lists of flows over several datagrams. A message to this agent
// itself cuts the flows that it lists.
func (a *Agent) sendAll(messages []arbiter.Message) {
	s := a.service.Load()
	if s == nil || len(messages) == 0 {
		return
	}
	d := &wire.Datagram{Service: s.Name, Revision: s.Revision, Sender: a.self[:], Incarnation: a.cfg.Incarnation}
	for i := range messages {
		if messages[i].To == a.addr {
			a.drop(&messages[i])
			continue
		}
		a.sendMessage(d, &messages[i])
	}
}

// drop cuts flows that another agent owns, without sending anything to their callers.
func (a *Agent) drop(m *arbiter.Message) {
	flows := m.Flows
	if len(flows) == 0 {
		flows = []uint64{m.Flow}
	}
	for _, hash := range flows {
		if f := a.registry.get(hash); f != nil && f.silence() {
			a.lost(f)
		}
	}
}

// lost ends a silenced flow, whose owner is another agent.
func (a *Agent) lost(f *openFlow) {
	a.metrics.conflictsLost.Inc(1)
	a.deps.Log.Warn().Str("op", "silence").Uint64("flow", f.hash).Str("reason", "another agent owns the flow").Send()
	f.abort()
	a.end(f)
}

func (a *Agent) sendMessage(d *wire.Datagram, m *arbiter.Message) {
	d.Kind, d.Flow, d.Load, d.Final, d.Owner = m.Kind, m.Flow, m.Load, m.Final, nil
	if m.Owner.IsValid() {
		d.Owner = wire.AppendAddr(nil, m.Owner)
	}
	rest := m.Flows
	for {
		n := min(len(rest), maxMessageFlows)
		d.Flows, rest = rest[:n], rest[n:]
		b, err := d.MarshalVT()
		if err != nil {
			a.metrics.sendErrors.Inc(1)
			return
		}
		a.send(b, m.To)
		if len(rest) == 0 {
			return
		}
	}
}
