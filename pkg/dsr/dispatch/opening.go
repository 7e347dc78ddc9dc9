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

// openingPacket takes a packet that asks to open a flow.
func (b *Balancer) openingPacket(now time.Time, key flow.Key, f *flowState, s segment.Segment) {
	if f != nil && f.sequence == s.Sequence && f.phase != lost {
		b.copy(now, f, s)
		return
	}
	b.noteStandstill(now)
	f = &flowState{
		key:      key,
		hash:     key.Hash(),
		arrived:  now.Add(-s.Age),
		since:    now,
		touched:  now,
		packet:   append([]byte(nil), s.Raw...),
		sequence: s.Sequence,
	}
	f.uncertain = s.Age > 0 || now.Before(b.doubted)
	// A flow that is not kept has no copies either, as far as this balancer knows: each of them is refused by itself.
	if len(b.flows) >= b.cfg.MaxFlows && b.flows[key] == nil {
		b.refuse(now, f, refusal.ReasonTooManyFlows)
		return
	}
	b.flows[key] = f
	// Another balancer may have opened the flow when this packet is a copy. Asking who holds it would cost a question to every agent: after an
	// outage, when all that comes are copies, the questions would keep the links full. A second target that opens the flow loses a slot for a
	// round trip instead.
	b.place(now, f)
}

// copy takes a further copy of an opening packet.
func (b *Balancer) copy(now time.Time, f *flowState, s segment.Segment) {
	f.touched = now
	if f.packet != nil {
		// Agents learn from the last copy that the caller is still there.
		f.packet = append(f.packet[:0], s.Raw...)
	}
	switch f.phase {
	case refused:
		b.copyOfRefused(now, f, s)
	case opening:
		b.copyOfOpening(now, f)
	case queued:
		b.copyOfQueued(now, f, s)
	case open:
		// The target's answer was lost under way, and the target repeats it.
		for _, o := range f.owners {
			b.forward(now, f, o.agent, s.Raw, true, dsrpb.Patience_PATIENCE_QUEUE)
		}
	}
}

// copyOfRefused answers as before, or tries again when the caller was told nothing.
func (b *Balancer) copyOfRefused(now time.Time, f *flowState, s segment.Segment) {
	if f.reset {
		b.out.Reset(f.key, 0)
		return
	}
	f.packet = append([]byte(nil), s.Raw...)
	b.place(now, f)
}

// copyOfOpening asks the next agent when the last one has not answered although its time is over; hedge had no budget left.
func (b *Balancer) copyOfOpening(now time.Time, f *flowState) {
	if now.Before(f.hedgeAt) {
		return
	}
	b.offerPast(now, f)
}

// copyOfQueued tells the agent at which the flow waits that the caller is still there. One that has missed two announcements is passed
// over; one that announces itself rarely, and was not heard of lately, has to answer in time.
func (b *Balancer) copyOfQueued(now time.Time, f *flowState, s segment.Segment) {
	a := b.agents[f.asked]
	if a == nil || a.suspect || now.Sub(a.heard) > max(FreshAnswer, 2*a.interval) {
		b.offerPast(now, f)
		return
	}
	b.forward(now, f, f.asked, s.Raw, false, dsrpb.Patience_PATIENCE_QUEUE)
	if now.Sub(a.heard) > FreshAnswer {
		b.expectAnswer(now, f)
	}
}

// expectAnswer has the flow go to the next agent unless the one that was asked answers in time.
func (b *Balancer) expectAnswer(now time.Time, f *flowState) {
	f.phase, f.since = opening, now
	f.hedgeAt = now.Add(b.hedgeAfter())
	b.hedges = append(b.hedges, due{flow: f, at: f.hedgeAt})
}

// patience is how long a caller waits for an answer to its opening packet.
func patience(timeout time.Duration) time.Duration {
	if timeout == 0 {
		return OpeningPatience
	}
	return min(timeout, OpeningPatience)
}

// place finds the service of a new flow and asks the first agent.
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
	if declared := b.routes.Declared(f.service); declared.ColdPerSecond > 0 {
		f.opening.ColdPerSecond = float32(declared.ColdPerSecond)
		f.opening.WarmUpMs = uint32(declared.WarmUp / time.Millisecond)
	}
	f.patience = dsrpb.Patience_PATIENCE_FREE_SLOT
	if b.cfg.Without.FreeFirst {
		f.patience = dsrpb.Patience_PATIENCE_QUEUE
	}
	f.tried, f.failed = f.tried[:0], f.failed[:0]
	b.offerNext(now, f)
}

// offerNext offers a new flow to the next agent, or refuses it.
func (b *Balancer) offerNext(now time.Time, f *flowState) {
	c, ok := b.choose(now, f)
	if !ok {
		b.nobody(now, f)
		return
	}
	f.asked = c.agent.addr
	f.tried = append(f.tried, c.agent.addr)
	f.tries++
	c.agent.asked++
	b.hedgeBudget.Deposit()
	b.expectAnswer(now, f)
	b.forward(now, f, c.agent.addr, f.packet, false, c.patience)
}

// nobody decides about a new flow that no agent takes.
func (b *Balancer) nobody(now time.Time, f *flowState) {
	if len(f.tried) > len(f.failed) {
		b.refuse(now, f, refusal.ReasonAllFull)
		return
	}
	if reason, final := b.unusable(now, f); final {
		b.refuse(now, f, reason)
		return
	}
	b.parkOrRefuse(now, f, refusal.ReasonNoTarget)
}

// unusable reports whether there are targets that would take the flow, of which none may be used, and why: waiting does not help
// then.
func (b *Balancer) unusable(now time.Time, f *flowState) (refusal.Reason, bool) {
	if b.starting(now, f.service) {
		return "", false
	}
	regions := b.routes.Regions(b.routes.Route(f.key.Destination), f.service)
	var reason refusal.Reason
	for _, a := range b.services[f.service] {
		switch {
		case !a.alive(now) || a.state == dsrpb.State_STATE_ABSENT:
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

// parkOrRefuse lets a new flow wait while this balancer or the service's agents have just started or the balancer is cut
// off, and refuses it else. A cut-off balancer is about to leave the rotation: the next copy of the opening packet reaches
// another balancer, while a refusal would use up the caller's tries.
func (b *Balancer) parkOrRefuse(now time.Time, f *flowState, reason refusal.Reason) {
	if !b.cfg.Without.Parking && now.Sub(f.arrived) < ParkTime && (b.starting(now, f.service) || now.Sub(b.LastHeard()) > IsolatedAfter) {
		b.park(now, f)
		return
	}
	b.refuse(now, f, reason)
}

// starting reports whether agents of the service may be about to announce a target.
func (b *Balancer) starting(now time.Time, service string) bool {
	if now.Sub(b.started) < StartTime {
		return true
	}
	return slices.ContainsFunc(b.order, func(a *agent) bool {
		return a.service == service && a.state == dsrpb.State_STATE_ABSENT && now.Sub(a.started) < StartTime
	})
}

func (b *Balancer) park(now time.Time, f *flowState) {
	f.phase, f.since, f.stale = parked, now, false
	b.parks = append(b.parks, due{flow: f, at: now.Add(parkInterval)})
}

// retryParked places the waiting flows again, since something they may wait for has come. Those that wait for a newer
// configuration are placed only when routes have changed.
func (b *Balancer) retryParked(now time.Time, routesChanged bool) {
	waiting := b.parks
	b.parks = nil
	for _, d := range waiting {
		if b.flows[d.flow.key] != d.flow || d.flow.phase != parked {
			continue
		}
		if d.flow.stale && !routesChanged {
			b.parks = append(b.parks, d)
			continue
		}
		b.place(now, d.flow)
	}
}

// unpark looks at one waiting flow again.
func (b *Balancer) unpark(now time.Time, f *flowState) {
	if f.phase != parked {
		return
	}
	if !f.stale {
		b.place(now, f)
		return
	}
	if now.Sub(f.since) > StaleTime {
		b.refuse(now, f, refusal.ReasonNoConfiguration)
		return
	}
	b.parks = append(b.parks, due{flow: f, at: now.Add(parkInterval)})
}

// hedge asks the next agent when the last one has not answered.
func (b *Balancer) hedge(now time.Time, f *flowState, at time.Time) {
	if f.phase != opening || at.Before(f.hedgeAt) {
		return
	}
	if a := b.agents[f.asked]; a != nil && !a.heard.After(f.since) {
		a.suspect = !b.cfg.Without.Suspicion
	}
	if !b.mayHedge() {
		b.awaitAnswer(now, f)
		return
	}
	b.offerPast(now, f)
}

// mayHedge reports whether one more agent may be asked past an unanswered offer.
func (b *Balancer) mayHedge() bool {
	switch {
	case b.cfg.Without.HedgedOffers:
		return false
	case b.cfg.Without.HedgeBudget:
		return true
	}
	return b.hedgeBudget.Withdraw()
}

// awaitAnswer waits on for an answer until the caller has left.
func (b *Balancer) awaitAnswer(now time.Time, f *flowState) {
	if now.Sub(f.arrived) < OpeningPatience {
		b.hedges = append(b.hedges, due{flow: f, at: now.Add(b.hedgeAfter())})
		return
	}
	f.uncertain = true
	b.refuse(now, f, refusal.ReasonDeadline)
}

// offerPast offers a flow to the next agent, since the last one has not answered. It may have opened the flow all the same.
func (b *Balancer) offerPast(now time.Time, f *flowState) {
	f.uncertain = true
	b.decided(now, EventUnanswered, f, f.asked, dsrpb.Verdict_VERDICT_UNSPECIFIED)
	f.failed = append(f.failed, f.asked)
	b.offerNext(now, f)
}
