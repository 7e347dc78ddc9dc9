package arbiter

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Control handles a message from the process at from and returns the messages to send.
//
// A returned KIND_ENDED to the agent itself means that the agent closes its endpoints of the flows silently.
func (a *Arbiter) Control(now time.Time, from netip.AddrPort, m Message) []Message {
	p := a.peers.sender(from, m.Incarnation)
	if p == nil || from == a.cfg.Self {
		return nil
	}
	at := a.stamp(now)
	switch m.Kind {
	case wire.Kind_KIND_LOAD:
		p.recordLoadReport(at, m.Load)
	case wire.Kind_KIND_PLACED:
		p.recordMessage(at, m.Load)
		return a.claimFlows(at, p, m)
	case wire.Kind_KIND_MOVED:
		return a.handleMoved(at, p, m)
	case wire.Kind_KIND_ENDED:
		a.handleEnded(at, p, m)
	case wire.Kind_KIND_LOCATE:
		return a.handleLocate(from, m)
	case wire.Kind_KIND_LOCATED:
		return a.handleLocated(at, p, m)
	}
	return nil
}

// Unreachable records that an agent's host refused a datagram because no process has the port open. For refusedFor, or
// until the agent is seen again, new flows skip it; the owners of its established flows stay as the views say.
func (a *Arbiter) Unreachable(now time.Time, agent netip.AddrPort) {
	if p := a.peers.at(agent); p != nil {
		p.refusedAt.Store(uint32(a.stamp(now)))
	}
}

// eachFlow calls f for each flow of the message, with the flow's shard locked, and returns the resulting messages.
func (a *Arbiter) eachFlow(m Message, f func(s *shard, flow uint64) []Message) []Message {
	flows := m.Flows
	if len(flows) == 0 {
		flows = []uint64{m.Flow}
	}
	var out []Message
	for _, flow := range flows {
		s := a.shard(flow)
		s.mu.Lock()
		out = append(out, f(s, flow)...)
		s.mu.Unlock()
	}
	return out
}

// claimFlows records that p owns the message's flows.
func (a *Arbiter) claimFlows(at stamp, p *peer, m Message) []Message {
	p.recordClaim(at)
	return a.eachFlow(m, func(s *shard, flow uint64) []Message {
		return a.applyClaim(at, s, flow, p, m)
	})
}

// applyClaim records that p owns the flow, or resolves the conflict when another agent does.
func (a *Arbiter) applyClaim(at stamp, s *shard, flow uint64, p *peer, m Message) []Message {
	e := s.flows[flow]
	a.locator.resolve(flow)
	mine := entry{at: at, peer: p.id, state: stateRedirect}
	if m.Final {
		mine.flags = flagOpen
	}
	switch e.state {
	case stateOwn:
		return a.claimOwned(s, flow, e, p, mine, m.Kind == wire.Kind_KIND_LOCATED)
	case stateOffered, stateOfferedOutside:
		if e.peer == p.id {
			p.answered()
		}
	case stateRedirect:
		return a.claimRedirected(s, flow, e, p, mine)
	}
	s.set(flow, mine)
	return nil
}

// claimRedirected resolves a claim on a redirected flow: an open flow wins over a half-open one, otherwise the earlier
// redirect stays until its owner denies the flow. The redirect may be older than the flow, so the claimant is not made
// to abandon the flow because of it.
func (a *Arbiter) claimRedirected(s *shard, flow uint64, e entry, p *peer, mine entry) []Message {
	q := a.peers.get(e.peer)
	if q == p {
		mine.flags |= e.flags & flagOpen
		s.set(flow, mine)
		return nil
	}
	if q.gone.Load() || e.has(flagEnded|flagYielded) {
		s.set(flow, mine)
		return nil
	}
	if mine.has(flagOpen) && !e.has(flagOpen) {
		s.set(flow, mine)
		return []Message{a.openOwnerMessage(q.addr, flow, p.addr)}
	}
	return []Message{{To: q.addr, Kind: wire.Kind_KIND_LOCATE, Flow: flow, Incarnation: a.cfg.Incarnation}}
}

// claimOwned resolves a claim on a flow that this agent owns. Of two half-open endpoints, the one that the caller did
// not answer ends by itself. A half-open own flow is abandoned only for an answer to a KIND_LOCATE: an unsolicited
// claim may be of an earlier use of the key, so the claimant is asked.
func (a *Arbiter) claimOwned(s *shard, flow uint64, e entry, p *peer, mine entry, answer bool) []Message {
	switch {
	case e.has(flagOpen):
		return []Message{a.openOwnerMessage(p.addr, flow, a.cfg.Self)}
	case !mine.has(flagOpen):
		return nil
	case answer:
		return a.abandon(s, flow, mine)
	}
	return []Message{{To: p.addr, Kind: wire.Kind_KIND_LOCATE, Flow: flow, Incarnation: a.cfg.Incarnation}}
}

// abandon releases an own flow to another owner.
func (a *Arbiter) abandon(s *shard, flow uint64, to entry) []Message {
	a.load.Add(-1)
	s.set(flow, to)
	return []Message{{To: a.cfg.Self, Kind: wire.Kind_KIND_ENDED, Flow: flow, Flows: []uint64{flow}}}
}

// openOwnerMessage returns the message that names the owner of a flow whose handshake is complete.
func (a *Arbiter) openOwnerMessage(to netip.AddrPort, flow uint64, owner netip.AddrPort) Message {
	return Message{To: to, Kind: wire.Kind_KIND_LOCATED, Flow: flow, Owner: owner, Incarnation: a.cfg.Incarnation, Final: true}
}

// handleMoved handles the notification of this agent as the new first agent of flows.
func (a *Arbiter) handleMoved(at stamp, p *peer, m Message) []Message {
	if !m.Owner.IsValid() || m.Owner == p.addr {
		return a.claimFlows(at, p, m)
	}
	m2 := a.members.Load()
	if m2 == nil {
		return nil
	}
	owner := m2.peerAt(m.Owner)
	if owner == nil {
		return nil
	}
	return a.eachFlow(m, func(s *shard, flow uint64) []Message {
		a.recordHint(at, s, flow, p, owner)
		return nil
	})
}

// recordHint records the owner that p named, unless the entry is more reliable.
func (a *Arbiter) recordHint(at stamp, s *shard, flow uint64, p, owner *peer) {
	e := s.flows[flow]
	switch e.state {
	case 0, stateLocating, stateLost:
	case stateRedirect:
		// The flow was yielded to p, which knows its owner by now.
		if !e.has(flagYielded) || e.peer != p.id {
			return
		}
	default:
		return
	}
	s.set(flow, entry{at: at, peer: owner.id, state: stateRedirect})
}

// handleEnded records that flows of p have ended; the redirects are kept for late packets.
func (a *Arbiter) handleEnded(at stamp, p *peer, m Message) {
	a.eachFlow(m, func(s *shard, flow uint64) []Message {
		e := s.flows[flow]
		if e.state == stateRedirect && e.peer == p.id && !e.has(flagEnded) {
			e.at = at
			e.flags = e.flags&flagProbed | flagEnded
			s.set(flow, e)
		}
		return nil
	})
}

// handleLocated handles an answer to KIND_LOCATE, or the notification of a conflict.
func (a *Arbiter) handleLocated(at stamp, p *peer, m Message) []Message {
	if !m.Owner.IsValid() {
		return a.eachFlow(m, func(s *shard, flow uint64) []Message {
			a.recordDenial(s, flow, p)
			return nil
		})
	}
	if m.Owner == p.addr {
		return a.claimFlows(at, p, m)
	}
	return a.eachFlow(m, func(s *shard, flow uint64) []Message {
		return a.yieldToOwner(at, s, flow, m)
	})
}

// recordDenial records that p does not own the flow.
func (a *Arbiter) recordDenial(s *shard, flow uint64, p *peer) {
	if e := s.flows[flow]; e.state == stateRedirect && e.peer == p.id {
		s.drop(flow)
		return
	}
	a.locator.deny(flow, p.id)
}

// yieldToOwner abandons a half-open own flow whose handshake another agent has completed.
func (a *Arbiter) yieldToOwner(at stamp, s *shard, flow uint64, m Message) []Message {
	e := s.flows[flow]
	owner := a.peers.at(m.Owner)
	if e.state != stateOwn || e.has(flagOpen) || !m.Final || owner == nil {
		return nil
	}
	return a.abandon(s, flow, entry{at: at, peer: owner.id, state: stateRedirect, flags: flagOpen})
}

// placedMessage returns the message by which this agent claims a flow.
func (a *Arbiter) placedMessage(to netip.AddrPort, flow uint64, open bool) Message {
	return Message{
		To: to, Kind: wire.Kind_KIND_PLACED, Flow: flow, Owner: a.cfg.Self,
		Load: uint32(a.load.Load()), Incarnation: a.cfg.Incarnation, Final: open,
	}
}
