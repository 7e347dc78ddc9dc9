package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// openingPacket handles a packet that asks to open a flow: the first one of a new flow, or a retransmission.
func (b *Balancer) openingPacket(now time.Time, key flow.Key, f *flowState, s segment.Segment) {
	if f != nil && f.sequence == s.Sequence && f.phase != lost {
		b.copy(now, f, s)
		return
	}
	b.detectStall(now)
	f = &flowState{
		key:      key,
		hash:     key.Hash(),
		arrived:  now.Add(-s.Age),
		since:    now,
		touched:  now,
		packet:   append([]byte(nil), s.Raw...),
		sequence: s.Sequence,
	}
	f.uncertain = s.Age > 0 || now.Before(b.backlogUntil)
	// A flow that is not tracked has no recognizable retransmissions: each of them is refused by itself.
	if len(b.flows) >= b.cfg.MaxFlows && b.flows[key] == nil {
		b.refuse(now, f, refusal.ReasonTooManyFlows)
		return
	}
	b.flows[key] = f
	// When this packet is a retransmission, another balancer may have opened the flow. Searching for an owner would
	// cost a message per agent: after an outage, when only retransmissions arrive, searches would keep the links
	// saturated. Instead, a second target that opens the flow loses a slot for a round trip.
	b.place(now, f)
}

// copy handles a retransmitted opening packet.
func (b *Balancer) copy(now time.Time, f *flowState, s segment.Segment) {
	f.touched = now
	if f.packet != nil {
		// The age of the last retransmission shows agents that the caller is still there.
		f.packet = append(f.packet[:0], s.Raw...)
	}
	switch f.phase {
	case refused:
		b.retransmissionWhileRefused(now, f, s)
	case opening:
		b.retransmissionWhileOpening(now, f)
	case queued:
		b.retransmissionWhileQueued(now, f, s)
	case open:
		// The target's answer to the opening packet was lost; the target sends it again.
		for _, o := range f.owners {
			b.forward(now, f, o.agent, s.Raw, true, dsrpb.Patience_PATIENCE_QUEUE)
		}
	}
}

// retransmissionWhileRefused resets the flow again, or offers it anew when the caller was not sent a reset.
func (b *Balancer) retransmissionWhileRefused(now time.Time, f *flowState, s segment.Segment) {
	if f.reset {
		b.out.Reset(f.key, 0)
		return
	}
	f.packet = append([]byte(nil), s.Raw...)
	b.place(now, f)
}

// retransmissionWhileOpening offers the flow to the next agent if the last one is overdue, which happens when the hedge
// budget was used up.
func (b *Balancer) retransmissionWhileOpening(now time.Time, f *flowState) {
	if now.Before(f.hedgeAt) {
		return
	}
	b.offerAfterTimeout(now, f)
}

// retransmissionWhileQueued forwards the packet to the agent where the flow is queued, to show that the caller is still
// there. An agent that is suspect or has missed two announcements is passed over. One that announces itself rarely, and
// was not seen recently, has to answer in time.
func (b *Balancer) retransmissionWhileQueued(now time.Time, f *flowState, s segment.Segment) {
	a := b.agents[f.asked]
	if a == nil || a.suspect || now.Sub(a.lastSeen) > max(RecentlySeen, 2*a.interval) {
		b.offerAfterTimeout(now, f)
		return
	}
	b.forward(now, f, f.asked, s.Raw, false, dsrpb.Patience_PATIENCE_QUEUE)
	if now.Sub(a.lastSeen) > RecentlySeen {
		b.scheduleHedge(now, f)
	}
}

// scheduleHedge offers the flow to the next agent unless the one that was asked answers in time.
func (b *Balancer) scheduleHedge(now time.Time, f *flowState) {
	f.phase, f.since = opening, now
	f.hedgeAt = now.Add(b.hedgeAfter())
	b.hedges = append(b.hedges, due{flow: f, at: f.hedgeAt})
}

// patience is how long a caller waits for an answer to its opening packet, given the timeout of its route, 0 when there
// is none.
func patience(timeout time.Duration) time.Duration {
	if timeout == 0 {
		return OpeningTimeout
	}
	return min(timeout, OpeningTimeout)
}

// place finds the service of a new flow and makes the first offer.
func (b *Balancer) place(now time.Time, f *flowState) {
	if b.routes == nil {
		b.parkOrRefuse(now, f, refusal.ReasonNoConfiguration)
		return
	}
	route := b.routes.Route(f.key.Destination)
	if route == nil {
		b.refuse(now, f, refusal.ReasonUnknownAddress)
		return
	}
	f.service = routing.Service(route, f.hash)
	f.opening = dsrpb.Opening{
		AimMs:      uint32(route.Aim / time.Millisecond),
		PatienceMs: uint32(patience(route.Timeout) / time.Millisecond),
		Priority:   uint32(max(0, route.Priority)),
	}
	declared := b.routes.Declared(f.service)
	if !b.cfg.Without.ConnectionLimit {
		f.opening.MaxConnections = uint32(declared.MaxConnections)
	}
	if declared.ColdPerSecond > 0 {
		f.opening.ColdPerSecond = float32(declared.ColdPerSecond)
		f.opening.WarmUpMs = uint32(declared.WarmUp / time.Millisecond)
	}
	if !b.takes(now, f, route.Priority) {
		b.refuse(now, f, refusal.ReasonOverloaded)
		return
	}
	f.opening.Retry = f.retry
	f.patience = dsrpb.Patience_PATIENCE_FREE_SLOT
	if b.cfg.Without.FreeFirst {
		f.patience = dsrpb.Patience_PATIENCE_QUEUE
	}
	f.tried, f.failed, f.overLimit = f.tried[:0], f.failed[:0], 0
	b.offerNext(now, f)
}

// offerNext offers a new flow to the next agent, or refuses or parks it when none is left.
func (b *Balancer) offerNext(now time.Time, f *flowState) {
	c, ok := b.choose(now, f)
	if !ok {
		b.noAgentLeft(now, f)
		return
	}
	f.asked, f.offer = c.agent.addr, estimateOf(now, c.agent)
	f.tried = append(f.tried, c.agent.addr)
	f.tries++
	c.agent.asked++
	b.hedgeBudget.Deposit()
	b.scheduleHedge(now, f)
	b.forward(now, f, c.agent.addr, f.packet, false, c.patience)
}

// noAgentLeft refuses or parks a new flow that no eligible agent has accepted.
func (b *Balancer) noAgentLeft(now time.Time, f *flowState) {
	if len(f.tried) <= len(f.failed) && (f.overLimit > 0 || b.allAtConnectionLimit(now, f)) {
		b.refuse(now, f, refusal.ReasonConnectionLimit)
		return
	}
	if len(f.tried) > len(f.failed) {
		b.refuse(now, f, fullReason(f))
		return
	}
	if reason, final := b.noneUsable(now, f); final {
		b.refuse(now, f, reason)
		return
	}
	b.parkOrRefuse(now, f, refusal.ReasonNoTarget)
}

// fullReason is the reason for refusing a flow that living agents have declined.
func fullReason(f *flowState) refusal.Reason {
	if f.overloaded {
		return refusal.ReasonOverloaded
	}
	return refusal.ReasonAllFull
}

// allAtConnectionLimit reports whether there are targets that the flow may be offered to, all of which hold as many flows
// as the service allows. Targets that have already failed the flow do not count.
func (b *Balancer) allAtConnectionLimit(now time.Time, f *flowState) bool {
	limit := int(f.opening.MaxConnections)
	excludeFailing := b.excludesFailing(now, f.service)
	regions := b.routes.Regions(b.routes.Route(f.key.Destination), f.service)
	full := 0
	for _, a := range b.services[f.service] {
		if !b.isUsable(now, a) || a.failing && excludeFailing || !regions.Allow(a.region) || slices.Contains(f.failed, a.addr) {
			continue
		}
		if !a.atConnectionLimit(now, limit) {
			return false
		}
		full++
	}
	return full > 0
}

// noneUsable reports whether the service has living targets of which none may be used, because of an evacuation or the
// allowed regions, and the reason for the refusal: waiting does not help then.
func (b *Balancer) noneUsable(now time.Time, f *flowState) (refusal.Reason, bool) {
	if b.isStarting(now, f.service) {
		return "", false
	}
	regions := b.routes.Regions(b.routes.Route(f.key.Destination), f.service)
	var reason refusal.Reason
	for _, a := range b.services[f.service] {
		switch {
		case !a.isAlive(now) || a.state == dsrpb.State_STATE_ABSENT:
		case b.evacuations.Contains(a.dataCentre):
			reason = refusal.ReasonEvacuated
		case !regions.Allow(a.region):
			reason = cmp.Or(reason, refusal.ReasonRegion)
		default:
			return "", false
		}
	}
	return reason, reason != ""
}

// parkOrRefuse parks a new flow while this balancer or agents of the service are starting or the balancer is isolated,
// and refuses it otherwise. An isolated balancer is about to leave the rotation: the next retransmission of the opening
// packet reaches another balancer, while a refusal would use up the caller's tries.
func (b *Balancer) parkOrRefuse(now time.Time, f *flowState, reason refusal.Reason) {
	if !b.cfg.Without.Parking && now.Sub(f.arrived) < ParkTimeout && (b.isStarting(now, f.service) || now.Sub(b.LastSeen()) > IsolatedAfter) {
		b.park(now, f)
		return
	}
	b.refuse(now, f, reason)
}

// isStarting reports whether agents of the service may be about to announce a target.
func (b *Balancer) isStarting(now time.Time, service string) bool {
	if now.Sub(b.started) < StartupGrace {
		return true
	}
	return slices.ContainsFunc(b.order, func(a *agent) bool {
		return a.service == service && a.state == dsrpb.State_STATE_ABSENT && now.Sub(a.started) < StartupGrace
	})
}

func (b *Balancer) park(now time.Time, f *flowState) {
	f.phase, f.since, f.stale = parked, now, false
	b.parkedFlows = append(b.parkedFlows, due{flow: f, at: now.Add(parkInterval)})
}

// retryParked places the parked flows again after a change that may have unblocked them. Those that wait for a newer
// configuration are placed only when the routes have changed.
func (b *Balancer) retryParked(now time.Time, routesChanged bool) {
	waiting := b.parkedFlows
	b.parkedFlows = nil
	for _, d := range waiting {
		if b.flows[d.flow.key] != d.flow || d.flow.phase != parked {
			continue
		}
		if d.flow.stale && !routesChanged {
			b.parkedFlows = append(b.parkedFlows, d)
			continue
		}
		b.place(now, d.flow)
	}
}

// recheckParked places a parked flow again, or refuses it when the newer configuration it waits for did not arrive.
func (b *Balancer) recheckParked(now time.Time, f *flowState) {
	if f.phase != parked {
		return
	}
	if !f.stale {
		b.place(now, f)
		return
	}
	if now.Sub(f.since) > StaleConfigurationTimeout {
		b.refuse(now, f, refusal.ReasonNoConfiguration)
		return
	}
	b.parkedFlows = append(b.parkedFlows, due{flow: f, at: now.Add(parkInterval)})
}

// hedge marks the agent that did not answer an offer as suspect and, within the budget, offers the flow to the next
// agent.
func (b *Balancer) hedge(now time.Time, f *flowState, at time.Time) {
	if f.phase != opening || at.Before(f.hedgeAt) {
		return
	}
	if a := b.agents[f.asked]; a != nil && !a.lastSeen.After(f.since) {
		a.suspect = !b.cfg.Without.Suspicion
	}
	if !b.mayHedge() {
		b.awaitAnswer(now, f)
		return
	}
	b.offerAfterTimeout(now, f)
}

// mayHedge reports whether the hedge budget allows an offer to one more agent.
func (b *Balancer) mayHedge() bool {
	switch {
	case b.cfg.Without.HedgedOffers:
		return false
	case b.cfg.Without.HedgeBudget:
		return true
	}
	return b.hedgeBudget.Withdraw()
}

// awaitAnswer keeps waiting for an answer until the caller has given up.
func (b *Balancer) awaitAnswer(now time.Time, f *flowState) {
	if now.Sub(f.arrived) < OpeningTimeout {
		b.hedges = append(b.hedges, due{flow: f, at: now.Add(b.hedgeAfter())})
		return
	}
	f.uncertain = true
	b.refuse(now, f, refusal.ReasonDeadline)
}

// offerAfterTimeout offers a flow to the next agent after the last one did not answer; that one may still have opened
// the flow.
func (b *Balancer) offerAfterTimeout(now time.Time, f *flowState) {
	f.uncertain = true
	b.reportDecision(now, EventUnanswered, f, f.asked, dsrpb.Verdict_VERDICT_UNSPECIFIED)
	f.failed = append(f.failed, f.asked)
	b.offerNext(now, f)
}
