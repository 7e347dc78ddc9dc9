package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// enqueue queues a new flow for the target, or declines it when its caller would leave before its turn or the
// balancer asks only for a free slot.
func (t *Table) enqueue(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, s segment.Segment, key flow.Key) {
	t.queue.Cold = t.coldLimit(now)
	if m.Patience == dsrpb.Patience_PATIENCE_FREE_SLOT {
		t.decline(now, balancer, m, key, dsrpb.Verdict_VERDICT_BUSY, nil)
		return
	}
	r := openingOf(now, key, m.Opening, s)
	if t.overloaded(now, r) {
		t.decline(now, balancer, m, key, dsrpb.Verdict_VERDICT_OVERLOADED, nil)
		return
	}
	if !t.queue.Add(now, r, t.workTime(), t.slots()) {
		t.decline(now, balancer, m, key, dsrpb.Verdict_VERDICT_BUSY, nil)
		return
	}
	t.demand.recordNew(now, m.Opening, key)
	t.addFlow(key, &entry{
		origin:        balancer,
		phase:         queued,
		since:         now,
		touched:       now,
		packet:        append([]byte(nil), s.Raw...),
		configuration: m.Configuration,
	})
	t.reportDecision(now, EventQueued, key, balancer, m.Configuration, dsrpb.Verdict_VERDICT_QUEUED)
	t.sendReturned(now, balancer, m, key, dsrpb.Verdict_VERDICT_QUEUED, nil)
	t.offerQueued(now)
}

// openingOf combines what a balancer and the opening packet say about a new flow.
func openingOf(now time.Time, key flow.Key, o *dsrpb.Opening, s segment.Segment) admission.Request {
	out := admission.Request{Key: key, Arrived: now.Add(-s.Age), Timeout: DefaultTimeout}
	if o != nil {
		out.Arrived = now.Add(-time.Duration(o.AgeMs) * time.Millisecond)
		out.Aim = time.Duration(o.AimMs) * time.Millisecond
		out.Priority = int(o.Priority)
	}
	if o != nil && o.PatienceMs > 0 {
		out.Timeout = time.Duration(o.PatienceMs) * time.Millisecond
	}
	out.RecordSent(s.Age, s.NextRetransmission)
	return out
}

// priorityOf is the priority of a new flow; 0, the highest, when the balancer does not name one.
func priorityOf(m *dsrpb.Message) int {
	if m.Opening == nil {
		return 0
	}
	return int(m.Opening.Priority)
}

// offerQueued gives the target the requests that wait while it has room, and abandons new flows whose callers are gone.
func (t *Table) offerQueued(now time.Time) {
	t.abandonExpired(now)
	t.returnLate(now)
	t.handOverDue(now)
	t.recheckAt = time.Time{}
	for t.queue.Len() > 0 {
		r, ok := t.nextQueued(now)
		if !ok {
			return
		}
		t.serve(now, r)
	}
}

// abandonExpired returns queued flows whose callers are gone.
func (t *Table) abandonExpired(now time.Time) {
	for {
		r, ok := t.queue.Expired(now, t.workTime())
		if !ok {
			return
		}
		t.returnQueued(now, r.Key, dsrpb.Verdict_VERDICT_GIVEN_UP, EventAbandoned)
	}
}

// returnLate returns queued flows whose promised time other requests have used up, while their balancers can still send
// them elsewhere or tell their callers.
func (t *Table) returnLate(now time.Time) {
	if !t.repeatsRequests(now) {
		return
	}
	for t.busy >= t.requestLimit() {
		r, ok := t.queue.Late(now, t.workTime())
		if !ok {
			return
		}
		t.returnQueued(now, r.Key, dsrpb.Verdict_VERDICT_OVERLOADED, EventDeclined)
	}
}

// nextQueued removes and returns the request whose turn it is. New flows are passed over while the target takes none.
func (t *Table) nextQueued(now time.Time) (admission.Request, bool) {
	takesNew := t.queue.NewFlows() > 0
	if takesNew && t.busy < t.concurrencyLimit(now) && !t.hasRoom(now) {
		t.recheckAt = t.nextRoomAt(now)
		takesNew = false
	}
	l := t.limits(now)
	return t.queue.NextOf(now, t.workTime(), func(r admission.Request) bool {
		return (r.Open || takesNew) && l.allows(r, t.busy)
	})
}

// cancelQueued removes a queued flow when its caller resets or closes it.
func (t *Table) cancelQueued(key flow.Key, s segment.Segment) {
	if !s.Has(segment.RST) && !s.Has(segment.FIN) {
		return
	}
	t.queue.Remove(key)
	t.removeFlow(key)
}

// returnQueued returns a flow that is no longer queued to its balancer.
func (t *Table) returnQueued(now time.Time, key flow.Key, v dsrpb.Verdict, ev Event) {
	e := t.flows[key]
	t.removeFlow(key)
	t.reportDecision(now, ev, key, e.origin, e.configuration, v)
	t.sendReturned(now, e.origin, &dsrpb.Message{Flow: key.Hash()}, key, v, nil)
}

// returnQueuedUnlessReady returns the queued flows to their balancers when the target takes no more.
func (t *Table) returnQueuedUnlessReady(now time.Time) {
	if t.State(now) != dsrpb.State_STATE_READY {
		t.returnAllQueued(now, dsrpb.Verdict_VERDICT_LEAVING)
	}
}

// returnAllQueued returns every queued new flow to its balancer.
func (t *Table) returnAllQueued(now time.Time, v dsrpb.Verdict) {
	for {
		r, ok := t.queue.NextNew(now, t.workTime())
		if !ok {
			return
		}
		t.returnQueued(now, r.Key, v, EventDeclined)
	}
}

// answered records that the target has answered, and samples the work time of a request that had a slot at once.
func (t *Table) answered(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	if e.working {
		t.recordServed(key.Destination)
		e.startReply(now, s)
	}
	if e.working && e.hadFreeSlot {
		t.recordWorkTime(now, now.Sub(e.busySince))
	}
	t.clearBusy(e)
}
