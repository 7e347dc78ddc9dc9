package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Forward passes a caller's packet that a balancer sent to the target, or queues, declines or returns it.
func (t *Table) Forward(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, s segment.Segment) {
	key := s.CallerKey()
	stale := m.Configuration < t.configuration
	t.configuration = max(t.configuration, m.Configuration)
	if m.Service != t.cfg.Service {
		t.sendReturned(now, balancer, m, key, dsrpb.Verdict_VERDICT_WRONG_SERVICE, s.Raw)
		return
	}
	e := t.flows[key]
	if s.IsOpening() {
		t.receiveOpening(now, balancer, m, s, key, e, stale)
		return
	}
	if e == nil {
		t.receiveUnknown(now, balancer, m, s, key)
		return
	}
	if e.phase == queued {
		t.cancelQueued(key, s)
		return
	}
	if t.lostWithTarget(e) {
		t.sendReturned(now, balancer, m, key, dsrpb.Verdict_VERDICT_NOT_HELD, s.Raw)
		return
	}
	if !e.matches(s.Acknowledgement) {
		t.sendReturned(now, balancer, m, key, dsrpb.Verdict_VERDICT_NOT_HELD, s.Raw)
		return
	}
	t.deliver(now, balancer, key, e, s)
}

// deliver passes a packet of a known flow to the target, or holds it with the request that it belongs to.
func (t *Table) deliver(now time.Time, balancer netip.AddrPort, key flow.Key, e *entry, s segment.Segment) {
	e.origin = balancer
	e.touched = now
	e.callerAck, e.acknowledged = s.Acknowledgement, true
	if e.held != nil && t.keepHeld(now, key, e, s) {
		return
	}
	if e.held == nil && e.beginsRequest(s) {
		if t.mustHold(now, key, e, s) {
			t.hold(now, key, e, s)
			return
		}
		t.serveMoreUrgent(now, t.promises[key.Destination].priority)
	}
	t.pass(now, key, e, s)
}

// pass passes a packet of a known flow to the target.
func (t *Table) pass(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	t.recordRoundTrip(now, e, s)
	if e.recordNewData(s) {
		t.finishReply(now, key, e)
		t.demand.recordLater(now, key, e)
		e.request = append(e.request[:0], s.Raw...)
		t.request(now, e)
	}
	t.checkCallerClose(now, key, e, s)
	switch {
	case s.Has(segment.RST):
		t.end(now, key, e)
	case s.Has(segment.FIN):
		e.callerClosed = true
		t.finishReply(now, key, e)
		t.endIfClosed(now, key, e)
	}
	t.out.ToTarget(s.Raw)
}

// receiveOpening decides whether an opening packet is offered, queued or declined. A retransmission of a queued flow
// only updates its state; one of a flow that was offered or is open is passed to the target again.
func (t *Table) receiveOpening(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, s segment.Segment, key flow.Key, e *entry, stale bool) {
	t.applyDeclaredLimits(m)
	t.connectionLimit.apply(m)
	if e != nil && e.phase == queued {
		e.origin = balancer
		t.queue.RecordSent(key, s.Age, s.NextRetransmission)
		t.sendReturned(now, balancer, m, key, dsrpb.Verdict_VERDICT_QUEUED, nil)
		return
	}
	t.learnPromise(m, key.Destination)
	if e != nil && e.phase != ended {
		e.origin = balancer
		e.touched = now
		t.recordNewFlow(now)
		t.out.ToTarget(s.Raw)
		if e.phase == open {
			t.sendAccepted(now, key, e)
		}
		return
	}
	if verdict := t.declineReason(now, stale); verdict != dsrpb.Verdict_VERDICT_UNSPECIFIED {
		t.decline(now, balancer, m, key, verdict, nil)
		return
	}
	if e != nil {
		t.drop(key, e)
	}
	if t.atConnectionLimit() {
		t.decline(now, balancer, m, key, dsrpb.Verdict_VERDICT_CONNECTIONS, nil)
		return
	}
	if m.Patience == dsrpb.Patience_PATIENCE_FREE_SLOT && t.failing(now) {
		t.decline(now, balancer, m, key, dsrpb.Verdict_VERDICT_BUSY, nil)
		return
	}
	if t.busy < t.limits(now).of(priorityOf(m)) && t.queue.Len() == 0 && t.hasRoom(now) {
		e = &entry{origin: balancer, touched: now, configuration: m.Configuration}
		t.addFlow(key, e)
		t.demand.recordNew(now, m.Opening, key)
		t.offer(now, key, e, s.Raw)
		return
	}
	t.enqueue(now, balancer, m, s, key)
}

// declineReason returns why new flows are not taken, or VERDICT_UNSPECIFIED when they are.
func (t *Table) declineReason(now time.Time, stale bool) dsrpb.Verdict {
	if t.evacuated {
		return dsrpb.Verdict_VERDICT_EVACUATED
	}
	if t.State(now) != dsrpb.State_STATE_READY {
		return dsrpb.Verdict_VERDICT_LEAVING
	}
	if stale {
		return dsrpb.Verdict_VERDICT_STALE
	}
	if !t.silentSince.IsZero() && now.Sub(t.lastSilentOffer) < SilentRetryInterval {
		return dsrpb.Verdict_VERDICT_SILENT
	}
	return dsrpb.Verdict_VERDICT_UNSPECIFIED
}

// failing reports whether the target is ejected, and so used only while no other target can serve.
func (t *Table) failing(now time.Time) bool {
	return t.outcomes.State(now) == outlier.Ejected && !t.cfg.Without.FailingLast
}

// concurrencyLimit is the number of requests that the target is given at once before it gets a new flow.
func (t *Table) concurrencyLimit(now time.Time) int {
	if t.outcomes.State(now) == outlier.Probing && !t.cfg.Without.FailingLast {
		return 1
	}
	return t.requestLimit()
}

// requestLimit is the number of requests that the target is given at once.
func (t *Table) requestLimit() int {
	slots := t.slots()
	if t.cfg.Without.ExtraRequests {
		return slots
	}
	return slots + t.extraRequests()
}

func (t *Table) slots() int { return max(1, t.target.last.Slots) }

// offer passes an opening packet to the target.
func (t *Table) offer(now time.Time, key flow.Key, e *entry, raw []byte) {
	e.phase, e.since, e.packet = offered, now, append(e.packet[:0], raw...)
	delete(t.notHeld, key)
	t.markBusy(now, e)
	t.recordNewFlow(now)
	t.schedule(key, now.Add(OfferTimeout))
	if !t.silentSince.IsZero() {
		t.lastSilentOffer = now
	}
	t.out.ToTarget(raw)
	t.reportDecision(now, EventOffered, key, e.origin, e.configuration, dsrpb.Verdict_VERDICT_UNSPECIFIED)
}

// receiveUnknown decides about a packet of an open flow that this agent does not know. When the balancer names this
// target as the owner and the agent cannot exclude it, the packet probes the target; otherwise it is returned.
func (t *Table) receiveUnknown(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, s segment.Segment, key flow.Key) {
	if !m.Owner || t.verdict(now, key) != dsrpb.Verdict_VERDICT_UNKNOWN {
		t.sendReturned(now, balancer, m, key, dsrpb.Verdict_VERDICT_NOT_HELD, s.Raw)
		return
	}
	e := &entry{origin: balancer, phase: probing, since: now, touched: now, callerAck: s.Acknowledgement, acknowledged: true}
	t.addFlow(key, e)
	t.schedule(key, now.Add(ProbeTimeout))
	t.out.ToTarget(s.Raw)
}
