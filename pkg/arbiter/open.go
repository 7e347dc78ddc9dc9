package arbiter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// askLimit is the time after which an agent that does not answer a question is taken for dead, though the view still names it.
	askLimit = 3 * time.Second
	// askSilentLimit is the same for an agent that sent nothing since it was asked. The third opening packet of a caller's TCP, 3 s after the first, must find it over.
	askSilentLimit = 2500 * time.Millisecond
)

// open starts the arbitration of a new flow at the first agent of its row.
func (c *call) open() Decision {
	if c.m == nil {
		return c.refuse(refusal.ReasonNoConfiguration, "no view of the service")
	}
	c.e = entry{at: c.at}
	return c.askFrom(pending{})
}

// askFrom asks the next other possible arbiter, or places the flow when all have been asked.
func (c *call) askFrom(p pending) Decision {
	arbiters := c.otherArbiters()
	if int(p.tries) >= arbiters.n {
		return c.place(pending{})
	}
	q := arbiters.list[p.tries]
	p.tries++
	c.e = entry{at: c.at, peer: q.id, state: stateAsked}
	c.progress(p)
	return c.forwardTo(q.addr, false, "another agent may have placed the flow")
}

// progress stores the entry of an opening flow whose packet is about to leave as a question or an offer.
func (c *call) progress(p pending) {
	p.sent = uint8(c.in.Hops + 1)
	c.s.progress(c.in.Flow, c.e, p)
}

// arbiterList is a short list of distinct agents.
type arbiterList struct {
	list [maxRow + maxPast + 1]*peer
	n    int
}

// add adds the live agent at an address.
func (l *arbiterList) add(c *call, addr netip.AddrPort) {
	q := c.m.peerAt(addr)
	if q == nil || q.dead(c.at) || l.n == len(l.list) {
		return
	}
	if !slices.Contains(l.list[:l.n], q) {
		l.list[l.n] = q
		l.n++
	}
}

// otherArbiters lists the agents that may have placed the flow, or know who did: the present first one if a balancer ranks otherwise, and during the window those of earlier tables. Where a first agent is gone, refuses datagrams or is not known, the rest of the row is asked, since it holds the owner.
func (c *call) otherArbiters() arbiterList {
	var l arbiterList
	first := c.m.table.FirstAgent(c.in.Flow)
	l.add(c, first)
	askRow := c.unreachable(first)
	if !c.m.settled(c.now, c.a.cfg.Window) {
		askRow = c.addPast(&l) || askRow
	}
	if askRow {
		for i := 1; i < min(wire.RowLen(c.in.Row), maxRow); i++ {
			addr, _ := wire.RowAddr(c.in.Row, i)
			l.add(c, addr)
		}
	}
	return l
}

// addPast adds the first agents of earlier tables, and reports whether one of them cannot be asked.
func (c *call) addPast(l *arbiterList) bool {
	missing := len(c.m.past) == 0
	for _, old := range c.m.past {
		if c.now.Sub(old.until) >= c.a.cfg.Window {
			continue
		}
		first := old.table.FirstAgent(c.in.Flow)
		l.add(c, first)
		if c.unreachable(first) {
			missing = true
			c.addRow(l, old.table)
		}
	}
	return missing
}

// addRow adds the other agents of an earlier row; its first one chose the owner among them.
func (c *call) addRow(l *arbiterList, t *placement.Table) {
	row := t.Row(c.in.Flow)
	for _, i := range row.Index[min(1, row.Len):row.Len] {
		l.add(c, t.Service().Targets[i].Agent)
	}
}

// unreachable reports whether another agent cannot be asked, as no view names it or its host refuses datagrams.
func (c *call) unreachable(addr netip.AddrPort) bool {
	if addr == c.a.cfg.Self {
		return false
	}
	q := c.m.peerAt(addr)
	return q == nil || q.dead(c.at)
}

// yield answers another arbiter that asks about an opening flow which this agent does not know, and leaves the flow to it.
func (c *call) yield() Decision {
	if q := c.senderPeer(); q != nil {
		c.s.set(c.in.Flow, entry{at: c.at, peer: q.id, state: stateRedirect, flags: flagYielded})
	}
	d := c.answer(ActionDecline, "flow is not here")
	d.Bound = declinedUnknown
	return d
}

func (c *call) senderPeer() *peer {
	if c.m != nil {
		if q := c.m.peerAt(c.in.Sender); q != nil {
			return q
		}
	}
	return c.a.peers.at(c.in.Sender)
}

// again decides about a repeated opening packet of a flow that this agent is placing.
func (c *call) again() Decision {
	q := c.a.peers.get(c.e.peer)
	p := c.s.pending[c.in.Flow]
	if c.e.state == stateAsked && q.addr == c.in.Sender {
		return c.mutual(q, p)
	}
	dead := q.dead(c.at)
	switch {
	case c.e.state == stateAsked && dead:
		// Without it the list of agents to ask is another one.
		return c.askFrom(pending{})
	case c.e.state == stateAsked && c.unanswered(q):
		return c.askFrom(p)
	case c.e.state == stateAsked:
		c.progress(p)
		// Placing the flow without the answer could give it a second owner.
		return c.forwardTo(q.addr, false, "another agent may have placed the flow")
	case dead, q.silent(c.at) && c.hasOther(q, p):
		return c.excludeAndPlace(p, c.position(q.addr))
	}
	c.progress(p)
	// The receiver answers a repeated offer as it did the first one.
	return c.offerTo(q, c.e.has(flagFinal), q.estimate())
}

// unanswered reports whether the agent that was asked is taken for dead.
func (c *call) unanswered(q *peer) bool {
	asked := c.e.at.since(c.at)
	heard := stamp(q.last.Load()).since(c.at) <= asked
	return asked > askLimit || asked > askSilentLimit && !heard
}

// hasOther reports whether an agent of the row other than q may take the flow and answers.
func (c *call) hasOther(q *peer, p pending) bool {
	if c.m == nil {
		return false
	}
	cs := c.a.candidates(c.now, c.m, &c.in, p)
	for i := range cs.n {
		if cs.list[i].peer != q && !cs.list[i].suspect {
			return true
		}
	}
	return false
}

// mutual settles two agents that ask each other about one flow: the lower address places it.
func (c *call) mutual(q *peer, p pending) Decision {
	if c.in.Final {
		// The other agent has left the flow to this one.
		return c.askFrom(p)
	}
	if c.a.cfg.Self.Compare(q.addr) < 0 {
		return c.place(pending{})
	}
	return c.yield()
}

// place chooses the owner of a new flow.
func (c *call) place(p pending) Decision {
	if c.m == nil {
		return c.refuse(refusal.ReasonNoConfiguration, "no view of the service")
	}
	cs := c.a.candidates(c.now, c.m, &c.in, p)
	if cs.n == 0 && c.believedActive() && c.accept() {
		return c.accepted("taken by the first agent, which its own view does not name")
	}
	if cs.n == 0 {
		p.full = p.full || cs.full > 0
		p.draining = p.draining || cs.draining > 0
		return c.placeBeyond(p)
	}
	best, limit := cs.pick(c.m.service.Spec.Preference)
	if best.peer == nil {
		if c.accept() {
			return c.accepted("taken by the first agent")
		}
		return c.excludeAndPlace(p, uint32(best.position))
	}
	bit := uint8(1) << best.position
	final := p.tries >= maxTries || cs.n == 1 || p.offered&bit != 0
	p.tries++
	p.offered |= bit
	c.e = entry{at: c.at, peer: best.peer.id, state: stateOffered}
	if final {
		c.e.flags = flagFinal
	}
	c.progress(p)
	best.peer.offered(c.at)
	return c.offerTo(best.peer, final, limit)
}

// believedActive reports whether a balancer ranks this agent first though its own view does not name it: the view is older than the balancer's, or wrong. An agent that drains or left takes nothing.
func (c *call) believedActive() bool {
	return c.m.self < 0 && c.a.isFirst(c.in.Row) && !c.a.draining(c.m)
}

// excludeAndPlace chooses again without the agent at a row position.
func (c *call) excludeAndPlace(p pending, position uint32) Decision {
	if c.e.state == stateBeyond {
		return c.placeBeyond(p)
	}
	if position < maxRow {
		p.excluded |= 1 << position
	}
	return c.place(p)
}

// placeBeyond offers the flow to agents outside the row, one after the other, and refuses it when they have no room either.
func (c *call) placeBeyond(p pending) Decision {
	for p.offeredBeyond < maxBeyond {
		index, ok := c.beyond(int(p.seenBeyond))
		if !ok {
			break
		}
		p.seenBeyond++
		q := c.m.peers[index]
		if !c.usable(index) {
			continue
		}
		p.offeredBeyond++
		c.e = entry{at: c.at, peer: q.id, state: stateBeyond, flags: flagFinal}
		c.progress(p)
		q.offered(c.at)
		return c.offerTo(q, true, declinedLimit)
	}
	c.s.drop(c.in.Flow)
	return c.refuse(c.placeReason(p), "no agent takes the flow")
}

// beyond returns the n-th target to try outside the row; the order starts at a place that the flow's hash chooses.
func (c *call) beyond(n int) (int, bool) {
	count := len(c.m.service.Targets)
	if n >= count {
		return 0, false
	}
	return int((c.in.Flow>>32 + uint64(n)) % uint64(count)), true
}

// usable reports whether a target outside the row may be offered the flow.
func (c *call) usable(index int) bool {
	t := &c.m.service.Targets[index]
	if index == c.m.self || t.State != view.StateActive || t.Weight == 0 {
		return false
	}
	q := c.m.peers[index]
	return q != nil && !q.suspect(c.at) && c.position(t.Agent) >= uint32(min(wire.RowLen(c.in.Row), maxRow))
}

// placeReason says why no agent takes a flow.
func (c *call) placeReason(p pending) refusal.Reason {
	switch {
	case p.full:
		return refusal.ReasonAllFull
	case p.draining || c.m.draining() > 0:
		return refusal.ReasonDraining
	}
	return refusal.ReasonNoTarget
}

// accept takes the flow unless there is no room; it counts the flow.
func (c *call) accept() bool {
	limit := c.a.limit(c.m)
	load := c.a.load.Add(1)
	if limit > 0 && load > limit {
		c.a.load.Add(-1)
		return false
	}
	c.e = entry{at: c.at, state: stateOwn}
	c.s.set(c.in.Flow, c.e)
	return true
}

func (c *call) accepted(why string) Decision {
	c.tellRanked()
	d := c.decide(ActionDeliver, why)
	d.Accepted = true
	return d
}

// tellRanked tells the first agent by this agent's own table of a flow that came by the row of another table: the former arbitrates the flow once views are even.
func (c *call) tellRanked() {
	first := c.ranked()
	notified := c.in.Kind == wire.Kind_KIND_OFFER && first == c.in.Sender
	if first.IsValid() && first != c.a.cfg.Self && !notified {
		c.a.tells.add(c.placed(first))
	}
}

// ranked is the first agent by this agent's own table, or the zero value.
func (c *call) ranked() netip.AddrPort {
	if c.m == nil {
		return netip.AddrPort{}
	}
	return c.m.table.FirstAgent(c.in.Flow)
}

func (c *call) offerTo(q *peer, final bool, limit uint32) Decision {
	d := c.decide(ActionOffer, "least loaded agent of the row")
	d.To = q.addr
	d.Position = c.position(q.addr)
	d.Final = final
	d.Bound = limit
	return d
}
