package arbiter

import (
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// offer decides on KIND_OFFER at the agent to which the flow is offered.
func (c *call) offer() Decision {
	if !c.in.Opening {
		return c.drop("offer without an opening packet")
	}
	switch c.e.state {
	case stateOwn:
		d := c.decide(ActionDeliver, "own flow")
		d.Notify = c.placedMessage(c.in.Sender)
		return d
	case stateAsked:
		// The agent that was asked places the flow itself, and may choose this one.
		if c.a.peers.get(c.e.peer).addr != c.in.Sender {
			return c.drop("flow is being placed by this agent too")
		}
	case stateOffered, stateOfferedOutside:
		return c.drop("flow is being placed by this agent too")
	case stateRedirect:
		if d, ok := c.offeredElsewhere(); ok {
			return d
		}
		if c.e.has(flagDeclined) && !c.in.Final {
			return c.decline(declinedLoaded)
		}
	}
	return c.takeOffer()
}

// offeredElsewhere forwards an offered packet to the owner in this agent's redirect.
func (c *call) offeredElsewhere() (Decision, bool) {
	p := c.a.peers.get(c.e.peer)
	if p.isDead(c.at) || p.addr == c.in.Sender || c.e.has(flagEnded) {
		return Decision{}, false
	}
	c.e.flags |= flagProbed | flagByOffer
	c.s.flows[c.in.Flow] = c.e
	return c.forwardTo(p.addr, true, "redirect to owner"), true
}

// takeOffer accepts the offered flow if there is room and the load is within the bound.
func (c *call) takeOffer() Decision {
	if c.a.draining(c.m) {
		return c.decline(declinedDraining)
	}
	if !c.in.Final && uint32(c.a.load.Load()) > c.in.Bound {
		if q := c.senderPeer(); q != nil {
			c.s.set(c.in.Flow, entry{at: c.at, peer: q.id, state: stateRedirect, flags: flagYielded | flagDeclined})
		}
		return c.decline(declinedLoaded)
	}
	if !c.accept() {
		return c.decline(declinedFull)
	}
	d := c.accepted("offered by the first agent")
	d.Notify = c.placedMessage(c.in.Sender)
	first, ok := wire.RowAddr(c.in.Row, 0)
	if ok && first != c.in.Sender && first != c.a.cfg.Self && first != c.localFirst() {
		// The offer came from an agent that the first one had asked.
		c.a.outbox.add(c.placedMessage(first))
	}
	return d
}

// decline returns an offered packet with the reason in its bound.
func (c *call) decline(reason uint32) Decision {
	d := c.answer(ActionDecline, "offer declined")
	d.Bound = reason
	return d
}

// declined decides on KIND_DECLINED at the agent to which a packet is returned.
func (c *call) declined() Decision {
	q := c.senderPeer()
	if !c.in.Opening || q == nil {
		return c.drop("declined datagram is not for an opening flow")
	}
	if c.e.peer != q.id {
		return c.drop("answer is not from the agent that was asked")
	}
	p := c.s.pending[c.in.Flow]
	if c.in.Hops <= uint32(p.sentHops) {
		return c.drop("answer to an earlier question or offer")
	}
	switch c.e.state {
	case stateAsked:
		if c.in.Final || c.in.Bound != declinedUnknown {
			return c.drop("late answer")
		}
		return c.askFrom(p)
	case stateOffered, stateOfferedOutside:
		return c.offerDeclined(q, p)
	case stateRedirect:
		return c.ownerDeclined()
	}
	return c.drop("late answer")
}

// offerDeclined chooses another agent after an offer was declined.
func (c *call) offerDeclined(q *peer, p pending) Decision {
	if c.in.Final != c.e.has(flagFinal) || c.in.Bound == declinedUnknown {
		return c.drop("answer to an earlier offer")
	}
	q.answered()
	q.recordMessage(c.at, c.in.Load)
	if c.in.Bound == declinedLoaded && !c.in.Final {
		return c.place(p)
	}
	p.full = p.full || c.in.Bound == declinedFull
	p.draining = p.draining || c.in.Bound == declinedDraining
	return c.excludeAndPlace(p, c.position(q.addr))
}

// ownerDeclined starts a new flow when the supposed owner answers that it does not know the former one.
func (c *call) ownerDeclined() Decision {
	if !c.in.Final || !c.e.has(flagProbed) {
		return c.drop("late answer")
	}
	c.s.drop(c.in.Flow)
	if !c.a.isFirst(c.in.Row) {
		return c.returnToFirst()
	}
	return c.open()
}

// returnToFirst returns the packet to the first agent of the row, which asked this one or offered it the flow.
func (c *call) returnToFirst() Decision {
	first, ok := wire.RowAddr(c.in.Row, 0)
	if !ok {
		return c.drop("row is empty")
	}
	d := c.decide(ActionDecline, "owner does not know the flow")
	d.To = first
	d.Bound = declinedUnknown
	if c.e.has(flagByOffer) {
		d.Bound = declinedLoaded
	}
	return d
}
