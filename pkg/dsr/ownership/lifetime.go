package ownership

import (
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// markBusy marks that the target has work for the flow or soon will have: an opening packet counts until its caller
// has sent the request.
func (t *Table) markBusy(now time.Time, e *entry) {
	if e.busy {
		return
	}
	e.busy, e.busySince = true, now
	t.busy++
}

// request marks that the target has a request to work on.
func (t *Table) request(now time.Time, e *entry) {
	t.markBusy(now, e)
	if e.working {
		return
	}
	e.working, e.hadFreeSlot, e.failed = true, t.working < t.slots(), false
	e.busySince = now
	t.working++
	if e.answered {
		e.further = true
		t.further++
		t.lastFurther = now
	}
}

// clearBusy marks that the target has no work for the flow any more.
func (t *Table) clearBusy(e *entry) {
	if !e.busy {
		return
	}
	if e.working {
		t.working--
	}
	if e.further {
		t.further--
	}
	e.busy, e.working, e.further, e.request = false, false, false, nil
	t.busy--
}

// endIfClosed ends the flow when both ends have closed it.
func (t *Table) endIfClosed(now time.Time, key flow.Key, e *entry) {
	if e.callerClosed && e.targetClosed {
		t.end(now, key, e)
	}
}

func (t *Table) end(now time.Time, key flow.Key, e *entry) {
	t.discardHeld(key, e)
	t.clearBusy(e)
	t.releaseConnection(e)
	e.phase, e.since = ended, now
}

func (t *Table) drop(key flow.Key, e *entry) {
	t.discardHeld(key, e)
	t.clearBusy(e)
	if e.released {
		t.released--
	}
	t.removeFlow(key)
}

// schedule adds a timer for a flow and keeps the timers sorted.
func (t *Table) schedule(key flow.Key, at time.Time) {
	i := len(t.due)
	t.due = append(t.due, timer{key: key, at: at})
	for ; i > 0 && t.due[i-1].at.After(at); i-- {
		t.due[i] = t.due[i-1]
	}
	t.due[i] = timer{key: key, at: at}
}

// Deadline is when Tick has to be called next.
func (t *Table) Deadline() time.Time {
	next := t.swept.Add(sweepInterval)
	if !t.recheckAt.IsZero() && t.recheckAt.Before(next) {
		next = t.recheckAt
	}
	if at, ok := t.queue.NextDue(t.workTime(), t.backlog(t.busy)); ok && at.Before(next) {
		next = at
	}
	if len(t.due) > 0 && t.due[0].at.Before(next) {
		return t.due[0].at
	}
	return next
}

// Tick fires the timers that are due.
func (t *Table) Tick(now time.Time) {
	for len(t.due) > 0 && !t.due[0].at.After(now) {
		w := t.due[0]
		t.due = slices.Delete(t.due, 0, 1)
		t.expire(now, w.key)
	}
	if t.queue.Len() > 0 {
		t.offerQueued(now)
	}
	if now.Sub(t.swept) >= sweepInterval {
		t.sweep(now)
	}
}

// expire applies a flow's timer: a half-open flow stops counting as work, an offer fails, or a probed flow has not been
// returned.
func (t *Table) expire(now time.Time, key flow.Key) {
	e := t.flows[key]
	if e == nil {
		return
	}
	switch {
	case e.phase == open && e.busy && !e.requested && !now.Before(e.requestBy) && !t.cfg.Without.HalfOpen:
		t.clearBusy(e)
		t.offerQueued(now)
	case e.phase == offered && now.Sub(e.since) >= OfferTimeout:
		t.offerTimedOut(now, key, e)
	case e.phase == probing && now.Sub(e.since) >= ProbeTimeout:
		t.probeTimedOut(now, key, e)
	}
}

// probeTimedOut assumes that the target holds a probed flow when it has not returned the packet although it runs. The
// silence of a target that may have stopped says nothing: the flow stays undetermined until the target answers or
// returns the packet.
func (t *Table) probeTimedOut(now time.Time, key flow.Key, e *entry) {
	if t.targetActive.Before(e.since) {
		t.schedule(key, now.Add(ProbeTimeout))
		return
	}
	e.phase, e.since = open, now
	t.sendAccepted(now, key, e)
	t.reportDecision(now, EventRecovered, key, e.origin, t.configuration, dsrpb.Verdict_VERDICT_HELD)
}

// offerTimedOut declines a flow whose opening packet the target has not answered. The entry stays for a late answer.
func (t *Table) offerTimedOut(now time.Time, key flow.Key, e *entry) {
	if t.silentSince.IsZero() {
		t.silentSince, t.lastSilentOffer = now, now
		t.returnAllQueued(now, dsrpb.Verdict_VERDICT_SILENT)
	}
	t.clearBusy(e)
	t.decline(now, e.origin, &dsrpb.Message{Flow: key.Hash()}, key, dsrpb.Verdict_VERDICT_SILENT, nil)
}

// sweep removes flows that have ended or were idle for too long, and fails overdue requests.
func (t *Table) sweep(now time.Time) {
	t.swept = now
	for key, e := range t.flows {
		switch {
		case e.phase == queued:
		case e.phase == ended && now.Sub(e.since) > EndedLinger:
			t.drop(key, e)
		case (e.phase == offered || e.phase == probing) && now.Sub(e.since) > OfferedLinger:
			t.drop(key, e)
		case now.Sub(e.touched) > MaxFlowAge:
			t.drop(key, e)
		case e.busy && now.Sub(e.busySince) > BusyTimeout:
			t.checkOverdue(now, key, e)
			t.clearBusy(e)
		default:
			t.checkOverdue(now, key, e)
		}
	}
	t.returnQueuedUnlessReady(now)
	t.offerQueued(now)
	for key, since := range t.notHeld {
		if now.Sub(since) > MaxFlowAge {
			delete(t.notHeld, key)
		}
	}
}
