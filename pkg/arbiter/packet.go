package arbiter

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// maxHops is the number of agents that a packet may pass; it covers a walk down a row and two redirects.
	maxHops = 12
	// maxOpeningHops is the same for an opening packet; it covers the questions and offers, each with its answer.
	maxOpeningHops = 2 * (maxPast + 1 + maxRow + maxTries + maxRow + maxBeyond)
	// maxProbeHops is the number of agents after which an opening packet is not sent along further redirects.
	maxProbeHops = 8
	// tellEvery is the least time between two messages about one own flow to a first agent that does not know it.
	tellEvery = time.Second
	// lateness is the time after the end of a flow within which its packets are taken for late ones without a question to the other agents.
	lateness = 2 * time.Second
)

// call is one packet while it is decided; the flow's shard is locked.
type call struct {
	a   *Arbiter
	now time.Time
	at  stamp
	in  Input
	m   *members
	s   *shard
	e   entry
}

// Packet decides about one packet.
func (a *Arbiter) Packet(now time.Time, in Input) Decision {
	s := a.shard(in.Flow)
	c := call{a: a, now: now, at: a.stamp(now), in: in, m: a.members.Load(), s: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.e = s.flows[in.Flow]
	switch in.Kind {
	case wire.Kind_KIND_FORWARD:
		return c.forward()
	case wire.Kind_KIND_OFFER:
		return c.offer()
	case wire.Kind_KIND_DECLINED:
		return c.declined()
	}
	return c.drop("datagram kind carries no packet")
}

// forward decides about KIND_FORWARD.
func (c *call) forward() Decision {
	switch c.e.state {
	case stateOwn:
		return c.own()
	case stateRedirect:
		return c.redirect()
	case stateEnded:
		return c.afterEnd()
	case stateAsked, stateOffered, stateBeyond:
		return c.whilePending()
	}
	return c.unknown()
}

// own delivers a packet of an own flow, and tells the first agent if the packet came past it.
func (c *call) own() Decision {
	d := c.decide(ActionDeliver, "own flow")
	if c.in.Hops == 0 || c.a.isFirst(c.in.Row) {
		return d
	}
	first, ok := wire.RowAddr(c.in.Row, 0)
	if !ok || first == c.in.Sender && c.in.Final {
		return d
	}
	if c.e.at.since(c.at) < tellEvery {
		return d
	}
	c.e.at = c.at
	c.s.flows[c.in.Flow] = c.e
	d.Notify = c.placed(first)
	return d
}

// redirect sends a packet on to the flow's owner.
func (c *call) redirect() Decision {
	p := c.a.peers.get(c.e.peer)
	if p.left(c.at) || c.in.Opening && p.refuses(c.at) {
		return c.ownerGone()
	}
	if p.addr == c.in.Sender {
		// The owner itself does not know the flow.
		return c.forget()
	}
	if c.in.Opening && c.in.Final && c.in.Hops > maxProbeHops {
		// Redirects that form a circle are wrong; each loses one on such a packet.
		c.s.drop(c.in.Flow)
		return c.notHere()
	}
	if c.in.Hops >= c.hopLimit() {
		// Redirects that form a circle are wrong; the owner is asked for anew.
		c.s.drop(c.in.Flow)
		return c.drop("too many hops")
	}
	if c.e.has(flagEnded) {
		c.doubtEnd()
	} else {
		c.touch()
	}
	if c.in.Opening {
		c.e.flags = c.e.flags&^flagByOffer | flagProbed
		c.s.flows[c.in.Flow] = c.e
	}
	return c.forwardTo(p.addr, true, "redirect to owner")
}

// forget drops the entry and decides as for an unknown flow.
func (c *call) forget() Decision {
	c.s.drop(c.in.Flow)
	c.e = entry{}
	return c.unknown()
}

// doubtEnd asks for the owner when packets arrive long after the end of a flow: the key may be in use again, and the message about its new owner lost.
func (c *call) doubtEnd() {
	if !c.in.Opening && c.e.at.since(c.at) > lateness {
		c.a.locator.add(c.in.Flow, c.now, false)
	}
}

// touch notes the time of the last packet, at a coarse grain to save writes.
func (c *call) touch() {
	if c.e.at.since(c.at) > time.Second {
		c.e.at = c.at
		c.s.flows[c.in.Flow] = c.e
	}
}

// ownerGone decides about a packet of a flow whose owner has died. The redirect may be older than the flow, so the other agents are asked before the flow is refused.
func (c *call) ownerGone() Decision {
	if c.in.Opening || c.e.has(flagYielded) {
		return c.forget()
	}
	if c.e.has(flagEnded) {
		return c.drop("late packet of a flow whose owner is gone")
	}
	c.e = entry{flags: flagDied}
	return c.unknown()
}

// afterEnd decides about a packet of an own flow that has ended.
func (c *call) afterEnd() Decision {
	if c.in.Opening {
		return c.unknown()
	}
	if c.in.Final {
		d := c.drop("late packet of an ended flow")
		d.Notify = Message{To: c.in.Sender, Kind: wire.Kind_KIND_ENDED, Flow: c.in.Flow}
		return d
	}
	if !c.a.isFirst(c.in.Row) {
		return c.unknownLater()
	}
	c.doubtEnd()
	return c.drop("late packet of an ended flow")
}

// whilePending decides about a packet of a flow that this agent is about to place.
func (c *call) whilePending() Decision {
	switch {
	case c.in.Opening && c.in.Final && c.in.Hops > maxProbeHops:
		return c.notHere()
	case c.in.Opening:
		return c.again()
	case c.in.Final:
		return c.notHere()
	}
	return c.forwardTo(c.a.peers.get(c.e.peer).addr, true, "agent that was asked or offered the flow")
}

// unknown decides about a packet of a flow without a live entry.
func (c *call) unknown() Decision {
	if c.in.Final {
		return c.notHere()
	}
	if !c.a.isFirst(c.in.Row) {
		return c.unknownLater()
	}
	if !c.in.Opening {
		return c.unknownFirst()
	}
	if c.e.state == stateLocating && !c.e.has(flagDied) {
		// Packets of an established flow came before; this one is late.
		return c.drop("owner is being located")
	}
	return c.open()
}

// notHere answers a packet that the sender holds to be for a flow of this agent.
func (c *call) notHere() Decision {
	if c.in.Opening {
		return c.answer(ActionDecline, "flow is not here")
	}
	d := c.drop("flow is not here")
	d.Notify = Message{To: c.in.Sender, Kind: wire.Kind_KIND_LOCATED, Flow: c.in.Flow}
	return d
}

// unknownLater decides at an agent that is not the first of the row.
func (c *call) unknownLater() Decision {
	if c.in.Hops == 0 {
		first, ok := wire.RowAddr(c.in.Row, 0)
		if !ok {
			return c.drop("row is empty")
		}
		return c.forwardTo(first, false, "learned owner does not know the flow")
	}
	if c.in.Opening {
		return c.yield()
	}
	return c.walk()
}

// walk passes a packet down the row.
func (c *call) walk() Decision {
	for i := int(c.in.Position) + 1; i < wire.RowLen(c.in.Row); i++ {
		addr, _ := wire.RowAddr(c.in.Row, i)
		if addr == c.a.cfg.Self || addr == c.in.Sender {
			continue
		}
		d := c.forwardTo(addr, false, "owner is sought down the row")
		d.Position = uint32(i)
		return d
	}
	return c.drop("no agent of the row knows the flow")
}

// unknownFirst decides about a packet of an established flow at the first agent.
func (c *call) unknownFirst() Decision {
	if c.e.state == stateLost {
		return c.lost()
	}
	if c.m == nil {
		return c.refuse(refusal.ReasonNoConfiguration, "no view of the service")
	}
	if c.e.state == stateLocating && c.e.at.since(c.at) > tellEvery {
		return c.drop("owner is being located")
	}
	if c.e.state != stateLocating {
		if !c.a.locator.add(c.in.Flow, c.now, c.e.has(flagDied)) {
			return c.drop("too many flows are being located")
		}
		c.s.set(c.in.Flow, entry{at: c.at, state: stateLocating, flags: c.e.flags & flagDied})
	}
	return c.walk()
}

// lost refuses a packet of a flow that every agent denies.
func (c *call) lost() Decision {
	if c.e.has(flagDied) {
		return c.refuse(refusal.ReasonTargetDied, "owner is gone")
	}
	return c.refuse(refusal.ReasonOwnerLost, "no agent owns the flow")
}

// forwardTo sends the packet on. Expected is true when the receiver should own the flow.
func (c *call) forwardTo(to netip.AddrPort, expected bool, why string) Decision {
	if c.in.Hops >= c.hopLimit() {
		return c.drop("too many hops")
	}
	d := c.decide(ActionForward, why)
	d.To = to
	d.Final = expected
	d.Position = c.position(to)
	return d
}

// hopLimit is the number of agents that the packet may pass.
func (c *call) hopLimit() uint32 {
	if c.in.Opening {
		return maxOpeningHops
	}
	return maxHops
}

// answer sends the packet back to its sender.
func (c *call) answer(action Action, why string) Decision {
	d := c.decide(action, why)
	d.To = c.in.Sender
	d.Position = c.position(c.in.Sender)
	d.Final = c.in.Final
	return d
}

// position is the index of an agent in the row, or the row's length.
func (c *call) position(addr netip.AddrPort) uint32 {
	n := wire.RowLen(c.in.Row)
	for i := range n {
		if at, _ := wire.RowAddr(c.in.Row, i); at == addr {
			return uint32(i)
		}
	}
	return uint32(n)
}

func (c *call) decide(action Action, why string) Decision {
	return Decision{Action: action, Why: why, Load: uint32(c.a.load.Load())}
}

func (c *call) drop(why string) Decision { return c.decide(ActionDrop, why) }

func (c *call) refuse(reason refusal.Reason, why string) Decision {
	d := c.decide(ActionRefuse, why)
	d.Reason = reason
	return d
}

// placed is the message by which this agent claims the flow.
func (c *call) placed(to netip.AddrPort) Message {
	return Message{
		To: to, Kind: wire.Kind_KIND_PLACED, Flow: c.in.Flow, Owner: c.a.cfg.Self,
		Load: uint32(c.a.load.Load()), Incarnation: c.a.cfg.Incarnation, Final: c.e.has(flagOpen),
	}
}
