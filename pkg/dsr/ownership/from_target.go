package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// FromTarget takes a packet that the target sent.
func (t *Table) FromTarget(now time.Time, s segment.Segment) {
	t.silent = time.Time{}
	if s.Has(segment.Returned) {
		t.handBack(now, s)
		return
	}
	key := s.TargetKey()
	e := t.flows[key]
	if e == nil {
		e = t.recover(now, key)
	}
	e.touched = now
	t.answer(now, key, e, s)
	t.out.ToCaller(key, s.Raw)
	t.pump(now)
}

// recover notes a flow that the target holds since before the agent started.
func (t *Table) recover(now time.Time, key flow.Key) *entry {
	e := &entry{phase: open, since: now, touched: now, requested: true}
	t.flows[key] = e
	delete(t.notHeld, key)
	t.decided(now, EventRecovered, key, netip.AddrPort{}, t.configuration, dsrpb.Verdict_VERDICT_HELD)
	return e
}

// answer takes over what a packet of the target says of its flow.
func (t *Table) answer(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	if s.Has(segment.SYN | segment.ACK) {
		e.hasSequence, e.initialSequence = true, s.Sequence
	}
	if e.phase == offered || e.phase == probing {
		e.phase, e.since = open, now
		e.requestBy = now.Add(t.halfOpen())
		t.by(key, e.requestBy)
		t.accepted(now, key, e)
		t.decided(now, EventAccepted, key, e.origin, t.configuration, dsrpb.Verdict_VERDICT_HELD)
	}
	t.failedBy(now, key, e, s)
	if s.Length > 0 {
		e.answered = true
		t.answered(now, key, e, s)
	}
	e.reply.sent(s)
	switch {
	case s.Has(segment.RST):
		t.end(now, e)
	case s.Has(segment.FIN):
		e.targetClosed = true
		t.replied(now, key, e)
		t.closed(now, e)
	}
}

// handBack takes a packet that the target returned.
func (t *Table) handBack(now time.Time, s segment.Segment) {
	key := s.CallerKey()
	t.codec.Restore(s.Raw)
	e := t.flows[key]
	if e == nil {
		return
	}
	origin := e.origin
	m := &dsrpb.Message{Flow: key.Hash()}
	if s.Opens() {
		if e.phase == offered {
			t.drop(key, e)
			t.pump(now)
			t.decline(now, origin, m, key, dsrpb.Verdict_VERDICT_BUSY, nil)
		}
		return
	}
	defer t.pump(now)
	lost := e.lost()
	t.drop(key, e)
	t.forgetHeld(now, key)
	if lost {
		t.out.Reset(key, e.callerAck)
		t.decided(now, EventReset, key, origin, t.configuration, dsrpb.Verdict_VERDICT_RESET)
		t.tellReset(now, origin, key)
		return
	}
	if origin.IsValid() {
		t.decline(now, origin, m, key, dsrpb.Verdict_VERDICT_NOT_HELD, s.Raw)
	}
}

func (t *Table) forgetHeld(now time.Time, key flow.Key) {
	if len(t.notHeld) < maxNotHeld {
		t.notHeld[key] = now
	}
}
