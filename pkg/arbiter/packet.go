package arbiter

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const (
	// maxHops is the number of agents that a packet may pass; it covers the way down a row and two redirects.
	maxHops = 12
	// maxOpeningHops is the same for an opening packet; it covers the questions and offers, each with its answer.
	maxOpeningHops = 2 * (maxPast + 1 + maxRow + maxTries + maxRow + maxOutsideRow)
	// maxProbeHops is the number of agents after which an opening packet is not forwarded along further redirects.
	maxProbeHops = 8
	// notifyInterval is the minimum time between two messages about one own flow to a first agent that does not know
	// it. It is also the time after which packets of a flow that is being located are dropped.
	notifyInterval = time.Second
	// latePacketWindow is the time after the end of a flow within which its packets are considered late ones, and the
	// other agents are not asked for an owner.
	latePacketWindow = 2 * time.Second
)

// call is the decision on one packet; the flow's shard is locked meanwhile.
type call struct {
	a   *Arbiter
	now time.Time
	at  stamp
	in  Input
	m   *members
	s   *shard
	e   entry
}

// Packet decides on one packet.
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

// forward decides on KIND_FORWARD.
func (c *call) forward() Decision {
	switch c.e.state {
	case stateOwn:
		return c.own()
	case stateRedirect:
		return c.redirect()
	case stateEnded:
		return c.afterEnd()
	case stateAsked, stateOffered, stateOfferedOutside:
		return c.whilePending()
	}
	return c.unknown()
}

// own delivers a packet of an own flow, and notifies the first agent if that did not forward the packet as to the
// owner.
func (c *call) own() Decision {
	d := c.decide(ActionDeliver, "own flow")
	if c.in.Hops == 0 || c.a.isFirst(c.in.Row) {
		return d
	}
	first, ok := wire.RowAddr(c.in.Row, 0)
	if !ok || first == c.in.Sender && c.in.Final {
		return d
	}
	if c.e.at.since(c.at) < notifyInterval {
		return d
	}
	c.e.at = c.at
	c.s.flows[c.in.Flow] = c.e
	d.Notify = c.placedMessage(first)
	return d
}

// redirect forwards a packet to the flow's owner.
func (c *call) redirect() Decision {
	p := c.a.peers.get(c.e.peer)
	if p.hasLeft(c.at) || c.in.Opening && p.recentlyRefused(c.at) {
		return c.ownerGone()
	}
	if p.addr == c.in.Sender {
		// The owner itself does not know the flow.
		return c.evict()
	}
	if c.in.Opening && c.in.Final && c.in.Hops > maxProbeHops {
		// Redirects that form a loop are wrong; each loses one on such a packet.
		c.s.drop(c.in.Flow)
		return c.denyOwnership()
	}
	if c.in.Hops >= c.hopLimit() {
		// Redirects that form a loop are wrong; the owner is located anew.
		c.s.drop(c.in.Flow)
		return c.drop("too many hops")
	}
	if c.e.has(flagEnded) {
		c.recheckOwner()
	} else {
		c.touch()
	}
	if c.in.Opening {
		c.e.flags = c.e.flags&^flagByOffer | flagProbed
		c.s.flows[c.in.Flow] = c.e
	}
	return c.forwardTo(p.addr, true, "redirect to owner")
}

// evict removes the entry and decides as for an unknown flow.
func (c *call) evict() Decision {
	c.s.drop(c.in.Flow)
	c.e = entry{}
	return c.unknown()
}

// recheckOwner locates the owner when packets arrive long after the end of a flow: the key may be in use again, and the
// message about its new owner lost.
func (c *call) recheckOwner() {
	if !c.in.Opening && c.e.at.since(c.at) > latePacketWindow {
		c.a.locator.add(c.in.Flow, c.now, false)
	}
}

// touch records the time of the last packet, once a second at most to save writes.
func (c *call) touch() {
	if c.e.at.since(c.at) > time.Second {
		c.e.at = c.at
		c.s.flows[c.in.Flow] = c.e
	}
}

// ownerGone decides on a packet of a flow whose owner is gone. The redirect may be older than the flow, so the other
// agents are asked before the flow is refused.
func (c *call) ownerGone() Decision {
	if c.in.Opening || c.e.has(flagYielded) {
		return c.evict()
	}
	if c.e.has(flagEnded) {
		return c.drop("late packet of a flow whose owner is gone")
	}
	c.e = entry{flags: flagOwnerGone}
	return c.unknown()
}

// afterEnd decides on a packet of an own flow that has ended.
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
	c.recheckOwner()
	return c.drop("late packet of an ended flow")
}

// whilePending decides on a packet of a flow that this agent is placing.
func (c *call) whilePending() Decision {
	switch {
	case c.in.Opening && c.in.Final && c.in.Hops > maxProbeHops:
		return c.denyOwnership()
	case c.in.Opening:
		return c.retransmission()
	case c.in.Final:
		return c.denyOwnership()
	}
	return c.forwardTo(c.a.peers.get(c.e.peer).addr, true, "agent that was asked or offered the flow")
}

// unknown decides on a packet of a flow that has no owner, redirect or pending entry here.
func (c *call) unknown() Decision {
	if c.in.Final {
		return c.denyOwnership()
	}
	if !c.a.isFirst(c.in.Row) {
		return c.unknownLater()
	}
	if !c.in.Opening {
		return c.unknownFirst()
	}
	if c.e.state == stateLocating && !c.e.has(flagOwnerGone) {
		// Packets of an established flow were received before; this one is late.
		return c.drop("owner is being located")
	}
	return c.open()
}

// denyOwnership answers a packet whose sender takes this agent for the flow's owner.
func (c *call) denyOwnership() Decision {
	if c.in.Opening {
		return c.answer(ActionDecline, "flow is not known here")
	}
	d := c.drop("flow is not known here")
	d.Notify = Message{To: c.in.Sender, Kind: wire.Kind_KIND_LOCATED, Flow: c.in.Flow}
	return d
}

// unknownLater decides on a packet of an unknown flow at an agent that is not the first of the row.
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
	return c.forwardDownRow()
}

// forwardDownRow forwards a packet to the next agent of the row.
func (c *call) forwardDownRow() Decision {
	for i := int(c.in.Position) + 1; i < wire.RowLen(c.in.Row); i++ {
		addr, _ := wire.RowAddr(c.in.Row, i)
		if addr == c.a.cfg.Self || addr == c.in.Sender {
			continue
		}
		d := c.forwardTo(addr, false, "looking for the owner down the row")
		d.Position = uint32(i)
		return d
	}
	return c.drop("no agent of the row knows the flow")
}

// unknownFirst decides on a packet of an established flow, unknown here, at the first agent.
func (c *call) unknownFirst() Decision {
	if c.e.state == stateLost {
		return c.lost()
	}
	if c.m == nil {
		return c.refuse(refusal.ReasonNoConfiguration, "no view of the service")
	}
	if c.e.state == stateLocating && c.e.at.since(c.at) > notifyInterval {
		return c.drop("owner is being located")
	}
	if c.e.state != stateLocating {
		if !c.a.locator.add(c.in.Flow, c.now, c.e.has(flagOwnerGone)) {
			return c.drop("too many flows are being located")
		}
		c.s.set(c.in.Flow, entry{at: c.at, state: stateLocating, flags: c.e.flags & flagOwnerGone})
	}
	return c.forwardDownRow()
}

// lost refuses a packet of a flow that every agent denied owning.
func (c *call) lost() Decision {
	if c.e.has(flagOwnerGone) {
		return c.refuse(refusal.ReasonTargetDied, "owner is gone")
	}
	return c.refuse(refusal.ReasonOwnerLost, "no agent owns the flow")
}

// forwardTo forwards the packet. Expected is true when the receiver should own the flow.
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

// hopLimit returns the number of agents that the packet may pass.
func (c *call) hopLimit() uint32 {
	if c.in.Opening {
		return maxOpeningHops
	}
	return maxHops
}

// answer returns the packet to its sender.
func (c *call) answer(action Action, why string) Decision {
	d := c.decide(action, why)
	d.To = c.in.Sender
	d.Position = c.position(c.in.Sender)
	d.Final = c.in.Final
	return d
}

// position returns the index of an agent in the row, or the row's length.
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

// placedMessage returns the message by which this agent claims the flow.
func (c *call) placedMessage(to netip.AddrPort) Message {
	return Message{
		To: to, Kind: wire.Kind_KIND_PLACED, Flow: c.in.Flow, Owner: c.a.cfg.Self,
		Load: uint32(c.a.load.Load()), Incarnation: c.a.cfg.Incarnation, Final: c.e.has(flagOpen),
	}
}
