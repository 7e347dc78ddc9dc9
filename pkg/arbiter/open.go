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
	// askTimeout is the time after which an agent that does not answer a question is considered dead, even if the view
	// still names it.
	askTimeout = 3 * time.Second
	// askSilentTimeout is the same for an agent that sent nothing since it was asked. It must end before the
	// caller's second TCP retransmission, 3 s after the first SYN.
	askSilentTimeout = 2500 * time.Millisecond
)

// open starts the arbitration of a new flow at the first agent of its row.
func (c *call) open() Decision {
	if c.m == nil {
		return c.refuse(refusal.ReasonNoConfiguration, "no view of the service")
	}
	c.e = entry{at: c.at}
	return c.askFrom(pending{})
}

// askFrom asks the next of the other possible arbiters, or places the flow when all have been asked.
func (c *call) askFrom(p pending) Decision {
	arbiters := c.otherArbiters()
	if int(p.tries) >= arbiters.n {
		return c.place(pending{})
	}
	q := arbiters.list[p.tries]
	p.tries++
	c.e = entry{at: c.at, peer: q.id, state: stateAsked}
	c.savePending(p)
	return c.forwardTo(q.addr, false, "another agent may have placed the flow")
}

// savePending stores the entry of an opening flow whose packet is about to be sent as a question or an offer.
func (c *call) savePending(p pending) {
	p.sentHops = uint8(c.in.Hops + 1)
	c.s.savePending(c.in.Flow, c.e, p)
}

// arbiterList is a bounded list of distinct agents.
type arbiterList struct {
	list [maxRow + maxPast + 1]*peer
	n    int
}

// add adds the agent at an address unless it is dead.
func (l *arbiterList) add(c *call, addr netip.AddrPort) {
	q := c.m.peerAt(addr)
	if q == nil || q.isDead(c.at) || l.n == len(l.list) {
		return
	}
	if !slices.Contains(l.list[:l.n], q) {
		l.list[l.n] = q
		l.n++
	}
}

// otherArbiters lists the agents that may have placed the flow or know its owner: the first agent of this view if a
// balancer ranks differently and, during the window, those of earlier tables. Where a first agent is gone, unknown or
// refuses datagrams, the rest of the row is asked, since one of them may be the owner.
func (c *call) otherArbiters() arbiterList {
	var l arbiterList
	first := c.m.table.FirstAgent(c.in.Flow)
	l.add(c, first)
	askRow := c.unreachable(first)
	if !c.m.isSettled(c.now, c.a.cfg.Window) {
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

// addPast adds the first agent of each earlier table that was in force within the window, and the rest of its row when
// that agent is unreachable. It reports whether one was unreachable or no earlier table is known.
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

// addRow adds the other agents of an earlier row, among which its first agent chose the owner.
func (c *call) addRow(l *arbiterList, t *placement.Table) {
	row := t.Row(c.in.Flow)
	for _, i := range row.Index[min(1, row.Len):row.Len] {
		l.add(c, t.Service().Targets[i].Agent)
	}
}

// unreachable reports whether another agent cannot be asked because no view names it or its host refuses datagrams.
func (c *call) unreachable(addr netip.AddrPort) bool {
	if addr == c.a.cfg.Self {
		return false
	}
	q := c.m.peerAt(addr)
	return q == nil || q.isDead(c.at)
}

// yield declines an opening flow about which another arbiter asks, because this agent does not know it, and redirects
// the flow to that arbiter.
func (c *call) yield() Decision {
	if q := c.senderPeer(); q != nil {
		c.s.set(c.in.Flow, entry{at: c.at, peer: q.id, state: stateRedirect, flags: flagYielded})
	}
	d := c.answer(ActionDecline, "flow is not known here")
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

// retransmission decides on a repeated opening packet of a flow that this agent is placing.
func (c *call) retransmission() Decision {
	q := c.a.peers.get(c.e.peer)
	p := c.s.pending[c.in.Flow]
	if c.e.state == stateAsked && q.addr == c.in.Sender {
		return c.settleMutualQuestion(q, p)
	}
	isDead := q.isDead(c.at)
	switch {
	case c.e.state == stateAsked && isDead:
		// Without the dead agent the list of arbiters to ask differs.
		return c.askFrom(pending{})
	case c.e.state == stateAsked && c.isUnresponsive(q):
		return c.askFrom(p)
	case c.e.state == stateAsked:
		c.savePending(p)
		// Placing the flow without the answer could give it a second owner.
		return c.forwardTo(q.addr, false, "another agent may have placed the flow")
	case isDead, q.isSilent(c.at) && c.hasAlternative(q, p):
		return c.excludeAndPlace(p, c.position(q.addr))
	}
	c.savePending(p)
	// The receiver answers a repeated offer as it did the first one.
	return c.offerTo(q, c.e.has(flagFinal), q.estimate())
}

// isUnresponsive reports whether the agent that was asked is considered dead.
func (c *call) isUnresponsive(q *peer) bool {
	asked := c.e.at.since(c.at)
	seen := stamp(q.lastSeen.Load()).since(c.at) <= asked
	return asked > askTimeout || asked > askSilentTimeout && !seen
}

// hasAlternative reports whether an agent of the row other than q, not a suspect one, may accept the flow.
func (c *call) hasAlternative(q *peer, p pending) bool {
	if c.m == nil {
		return false
	}
	cs := c.a.candidates(c.now, c.m, &c.in, p)
	for i := range cs.n {
		if cs.list[i].peer != q && !cs.list[i].isSuspect {
			return true
		}
	}
	return false
}

// settleMutualQuestion decides between two agents that ask each other about one flow: the one with the lower address
// places it.
func (c *call) settleMutualQuestion(q *peer, p pending) Decision {
	if c.in.Final {
		// The other agent has yielded the flow to this one.
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
	if cs.n == 0 && c.isRankedFirst() && c.accept() {
		return c.accepted("accepted by the first agent, which its own view does not name")
	}
	if cs.n == 0 {
		p.full = p.full || cs.full > 0
		p.draining = p.draining || cs.draining > 0
		return c.placeOutsideRow(p)
	}
	best, limit := cs.pick(c.m.service.Spec.Preference)
	if best.peer == nil {
		if c.accept() {
			return c.accepted("accepted by the first agent")
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
	c.savePending(p)
	best.peer.offered(c.at)
	return c.offerTo(best.peer, final, limit)
}

// isRankedFirst reports whether a balancer ranks this agent first though its own view does not name it: the view is
// wrong or older than the balancer's. It is false for an agent that drains or left after draining.
func (c *call) isRankedFirst() bool {
	return c.m.self < 0 && c.a.isFirst(c.in.Row) && !c.a.draining(c.m)
}

// excludeAndPlace places the flow without the agent at a row position.
func (c *call) excludeAndPlace(p pending, position uint32) Decision {
	if c.e.state == stateOfferedOutside {
		return c.placeOutsideRow(p)
	}
	if position < maxRow {
		p.excluded |= 1 << position
	}
	return c.place(p)
}

// placeOutsideRow offers the flow to agents outside the row, one after the other, and refuses it when none of them
// accepts.
func (c *call) placeOutsideRow(p pending) Decision {
	for p.offeredOutside < maxOutsideRow {
		index, ok := c.outsideRow(int(p.seenOutside))
		if !ok {
			break
		}
		p.seenOutside++
		q := c.m.peers[index]
		if !c.canOffer(index) {
			continue
		}
		p.offeredOutside++
		c.e = entry{at: c.at, peer: q.id, state: stateOfferedOutside, flags: flagFinal}
		c.savePending(p)
		q.offered(c.at)
		return c.offerTo(q, true, declinedLimit)
	}
	c.s.drop(c.in.Flow)
	return c.refuse(c.placeReason(p), "no agent takes the flow")
}

// outsideRow returns the n-th target to try outside the row; the flow's hash selects the start of the order.
func (c *call) outsideRow(n int) (int, bool) {
	count := len(c.m.service.Targets)
	if n >= count {
		return 0, false
	}
	return int((c.in.Flow>>32 + uint64(n)) % uint64(count)), true
}

// canOffer reports whether a target outside the row may be offered the flow.
func (c *call) canOffer(index int) bool {
	t := &c.m.service.Targets[index]
	if index == c.m.self || t.State != view.StateActive || t.Weight == 0 {
		return false
	}
	q := c.m.peers[index]
	return q != nil && !q.isSuspect(c.at) && c.position(t.Agent) >= uint32(min(wire.RowLen(c.in.Row), maxRow))
}

// placeReason returns the refusal reason when no agent accepts a flow.
func (c *call) placeReason(p pending) refusal.Reason {
	switch {
	case p.full:
		return refusal.ReasonAllFull
	case p.draining || c.m.draining() > 0:
		return refusal.ReasonDraining
	}
	return refusal.ReasonNoTarget
}

// accept makes this agent the owner of the flow and counts it, unless there is no room.
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
	c.notifyLocalFirst()
	d := c.decide(ActionDeliver, why)
	d.Accepted = true
	return d
}

// notifyLocalFirst notifies the first agent of this agent's own table of a flow that arrived by the row of another
// table: that agent arbitrates the flow once views agree.
func (c *call) notifyLocalFirst() {
	first := c.localFirst()
	notified := c.in.Kind == wire.Kind_KIND_OFFER && first == c.in.Sender
	if first.IsValid() && first != c.a.cfg.Self && !notified {
		c.a.outbox.add(c.placedMessage(first))
	}
}

// localFirst returns the first agent of the flow in this agent's own table, or the zero value.
func (c *call) localFirst() netip.AddrPort {
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
