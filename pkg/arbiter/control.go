package arbiter

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Control takes a message from the process at from and returns what to send.
//
// A returned KIND_ENDED to the agent itself means that it drops its endpoints of the flows silently.
func (a *Arbiter) Control(now time.Time, from netip.AddrPort, m Message) []Message {
	p := a.peers.sender(from, m.Incarnation)
	if p == nil || from == a.cfg.Self {
		return nil
	}
	at := a.stamp(now)
	switch m.Kind {
	case wire.Kind_KIND_LOAD:
		p.reported(at, m.Load)
	case wire.Kind_KIND_PLACED:
		p.heard(at, m.Load)
		return a.claimed(at, p, m)
	case wire.Kind_KIND_MOVED:
		return a.moved(at, p, m)
	case wire.Kind_KIND_ENDED:
		a.endedBy(at, p, m)
	case wire.Kind_KIND_LOCATE:
		return a.locateFor(from, m)
	case wire.Kind_KIND_LOCATED:
		return a.located(at, p, m)
	}
	return nil
}

// Unreachable tells that the host of an agent refused a datagram, as no process has the socket. New flows pass the agent by until it is heard again; the owners of its flows stay as the views say.
func (a *Arbiter) Unreachable(now time.Time, agent netip.AddrPort) {
	if p := a.peers.at(agent); p != nil {
		p.refused.Store(uint32(a.stamp(now)))
	}
}

// each calls f for each flow that the message is about, with its shard locked, and collects the answers.
func (a *Arbiter) each(m Message, f func(s *shard, flow uint64) []Message) []Message {
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

// claimed handles flows that p owns.
func (a *Arbiter) claimed(at stamp, p *peer, m Message) []Message {
	p.claims(at)
	return a.each(m, func(s *shard, flow uint64) []Message {
		return a.claim(at, s, flow, p, m)
	})
}

// claim notes that p owns the flow, or settles the conflict when another agent does.
func (a *Arbiter) claim(at stamp, s *shard, flow uint64, p *peer, m Message) []Message {
	e := s.flows[flow]
	a.locator.found(flow)
	mine := entry{at: at, peer: p.id, state: stateRedirect}
	if m.Final {
		mine.flags = flagOpen
	}
	switch e.state {
	case stateOwn:
		return a.claimAgainstOwn(s, flow, e, p, mine, m.Kind == wire.Kind_KIND_LOCATED)
	case stateOffered, stateBeyond:
		if e.peer == p.id {
			p.answered()
		}
	case stateRedirect:
		return a.claimAgainst(s, flow, e, p, mine)
	}
	s.set(flow, mine)
	return nil
}

// claimAgainst settles a claim on a flow that is redirected: an open flow beats a half-open one, else the earlier redirect stands until its owner denies the flow. The redirect may be older than the flow, so the claimant is not told to give up on its account.
func (a *Arbiter) claimAgainst(s *shard, flow uint64, e entry, p *peer, mine entry) []Message {
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
		return []Message{a.ownerIs(q.addr, flow, p.addr)}
	}
	return []Message{{To: q.addr, Kind: wire.Kind_KIND_LOCATE, Flow: flow, Incarnation: a.cfg.Incarnation}}
}

// claimAgainstOwn settles a claim on a flow that this agent owns itself; of two half-open ones, that which the caller did not answer ends by itself. Only an answer ends a half-open own flow: a claim without a question may be of an earlier life of the key, so that the claimant is asked.
func (a *Arbiter) claimAgainstOwn(s *shard, flow uint64, e entry, p *peer, mine entry, answer bool) []Message {
	switch {
	case e.has(flagOpen):
		return []Message{a.ownerIs(p.addr, flow, a.cfg.Self)}
	case !mine.has(flagOpen):
		return nil
	case answer:
		return a.abandon(s, flow, mine)
	}
	return []Message{{To: p.addr, Kind: wire.Kind_KIND_LOCATE, Flow: flow, Incarnation: a.cfg.Incarnation}}
}

// abandon gives up an own flow to another owner.
func (a *Arbiter) abandon(s *shard, flow uint64, to entry) []Message {
	a.load.Add(-1)
	s.set(flow, to)
	return []Message{{To: a.cfg.Self, Kind: wire.Kind_KIND_ENDED, Flow: flow, Flows: []uint64{flow}}}
}

// ownerIs tells an agent who owns a flow whose handshake is complete.
func (a *Arbiter) ownerIs(to netip.AddrPort, flow uint64, owner netip.AddrPort) Message {
	return Message{To: to, Kind: wire.Kind_KIND_LOCATED, Flow: flow, Owner: owner, Incarnation: a.cfg.Incarnation, Final: true}
}

// moved handles the announcement of flows to this agent as the new first one of their rows.
func (a *Arbiter) moved(at stamp, p *peer, m Message) []Message {
	if !m.Owner.IsValid() || m.Owner == p.addr {
		return a.claimed(at, p, m)
	}
	m2 := a.members.Load()
	if m2 == nil {
		return nil
	}
	owner := m2.peerAt(m.Owner)
	if owner == nil {
		return nil
	}
	return a.each(m, func(s *shard, flow uint64) []Message {
		a.hint(at, s, flow, p, owner)
		return nil
	})
}

// hint notes an owner that p named, unless something better is known.
func (a *Arbiter) hint(at stamp, s *shard, flow uint64, p, owner *peer) {
	e := s.flows[flow]
	switch e.state {
	case 0, stateLocating, stateLost:
	case stateRedirect:
		// The flow was left to p, which knows more by now.
		if !e.has(flagYielded) || e.peer != p.id {
			return
		}
	default:
		return
	}
	s.set(flow, entry{at: at, peer: owner.id, state: stateRedirect})
}

// endedBy notes that flows of p have ended; the redirect stays for late packets.
func (a *Arbiter) endedBy(at stamp, p *peer, m Message) {
	a.each(m, func(s *shard, flow uint64) []Message {
		e := s.flows[flow]
		if e.state == stateRedirect && e.peer == p.id && !e.has(flagEnded) {
			e.at = at
			e.flags = e.flags&flagProbed | flagEnded
			s.set(flow, e)
		}
		return nil
	})
}

// located handles the answer to a question for owners, and word of a conflict.
func (a *Arbiter) located(at stamp, p *peer, m Message) []Message {
	if !m.Owner.IsValid() {
		return a.each(m, func(s *shard, flow uint64) []Message {
			a.denied(s, flow, p)
			return nil
		})
	}
	if m.Owner == p.addr {
		return a.claimed(at, p, m)
	}
	return a.each(m, func(s *shard, flow uint64) []Message {
		return a.overruled(at, s, flow, m)
	})
}

// denied notes that p does not own the flow.
func (a *Arbiter) denied(s *shard, flow uint64, p *peer) {
	if e := s.flows[flow]; e.state == stateRedirect && e.peer == p.id {
		s.drop(flow)
		return
	}
	a.locator.deny(flow, p.id)
}

// overruled handles word that another agent has completed the handshake of a flow; a half-open own flow is given up.
func (a *Arbiter) overruled(at stamp, s *shard, flow uint64, m Message) []Message {
	e := s.flows[flow]
	owner := a.peers.at(m.Owner)
	if e.state != stateOwn || e.has(flagOpen) || !m.Final || owner == nil {
		return nil
	}
	return a.abandon(s, flow, entry{at: at, peer: owner.id, state: stateRedirect, flags: flagOpen})
}

// claimOf is the message by which this agent claims a flow.
func (a *Arbiter) claimOf(to netip.AddrPort, flow uint64, open bool) Message {
	return Message{
		To: to, Kind: wire.Kind_KIND_PLACED, Flow: flow, Owner: a.cfg.Self,
		Load: uint32(a.load.Load()), Incarnation: a.cfg.Incarnation, Final: open,
	}
}
