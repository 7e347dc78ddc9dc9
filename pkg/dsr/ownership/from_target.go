package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// FromTarget receives a packet that the target sent: one of its own goes to the caller, one that it returned to the
// balancer.
func (t *Table) FromTarget(now time.Time, s segment.Segment) {
	t.silentSince, t.targetActive = time.Time{}, now
	t.target.heard()
	if s.Has(segment.Returned) {
		t.receiveReturned(now, s)
		return
	}
	key := s.TargetKey()
	e := t.flows[key]
	if e == nil {
		e = t.recover(now, key)
	}
	e.touched = now
	t.applyTargetPacket(now, key, e, s)
	t.out.ToCaller(key, s.Raw)
	t.offerQueued(now)
}

// recover adds a flow that the target has held since before the agent started.
func (t *Table) recover(now time.Time, key flow.Key) *entry {
	e := &entry{phase: open, since: now, touched: now, requested: true}
	t.addFlow(key, e)
	delete(t.notHeld, key)
	t.reportDecision(now, EventRecovered, key, netip.AddrPort{}, t.configuration, dsrpb.Verdict_VERDICT_HELD)
	return e
}

// applyTargetPacket updates a flow's state from a packet of the target.
func (t *Table) applyTargetPacket(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	if s.Has(segment.SYN | segment.ACK) {
		e.hasSequence, e.initialSequence = true, s.Sequence
	}
	if e.phase == offered || e.phase == probing {
		e.phase, e.since, e.packet = open, now, nil
		e.requestBy = now.Add(t.halfOpen())
		t.schedule(key, e.requestBy)
		t.sendAccepted(now, key, e)
		t.reportDecision(now, EventAccepted, key, e.origin, t.configuration, dsrpb.Verdict_VERDICT_HELD)
	}
	t.checkTargetClose(now, key, e, s)
	if s.Length > 0 {
		e.answered = true
		t.answered(now, key, e, s)
	}
	e.reply.extend(s)
	switch {
	case s.Has(segment.RST):
		t.end(now, key, e)
	case s.Has(segment.FIN):
		e.targetClosed = true
		t.releaseConnection(e)
		t.finishReply(now, key, e)
		t.endIfClosed(now, key, e)
		t.handOverClosed(now, key, e)
	}
}

// receiveReturned returns a packet that the target returned to its balancer, or resets the flow for the caller when
// it was open at the target.
func (t *Table) receiveReturned(now time.Time, s segment.Segment) {
	key := s.CallerKey()
	t.codec.Restore(s.Raw)
	e := t.flows[key]
	if e == nil {
		return
	}
	origin := e.origin
	m := &dsrpb.Message{Flow: key.Hash()}
	if s.IsOpening() {
		if e.phase == offered {
			t.drop(key, e)
			t.offerQueued(now)
			t.decline(now, origin, m, key, dsrpb.Verdict_VERDICT_BUSY, nil)
		}
		return
	}
	defer t.offerQueued(now)
	wasOpenAtTarget := e.wasOpenAtTarget()
	t.drop(key, e)
	t.recordNotHeld(now, key)
	if wasOpenAtTarget {
		t.out.Reset(key, e.callerAck)
		t.reportDecision(now, EventReset, key, origin, t.configuration, dsrpb.Verdict_VERDICT_RESET)
		t.notifyReset(now, origin, key)
		return
	}
	if origin.IsValid() {
		t.decline(now, origin, m, key, dsrpb.Verdict_VERDICT_NOT_HELD, s.Raw)
	}
}

func (t *Table) recordNotHeld(now time.Time, key flow.Key) {
	if len(t.notHeld) < maxNotHeld {
		t.notHeld[key] = now
	}
}
