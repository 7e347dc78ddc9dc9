package ownership

import (
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/admission"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	// maxHeldPackets bounds the packets that are held for one flow: what a caller may have in flight.
	maxHeldPackets = 16
	// maxHeldBytes bounds the packets that are held for all flows; further requests go to the target at once.
	maxHeldBytes = 4 << 20
)

// held is a request on an open flow that waits at the agent. Its packets are kept in the order of their arrival.
type held struct {
	since time.Time
	// begin is the sequence number of its first byte.
	begin   uint32
	packets []heldPacket
	bytes   int
}

// heldPacket is a packet and the sequence numbers of its data.
type heldPacket struct {
	begin, end uint32
	raw        []byte
}

// add appends a copy of a packet.
func (h *held) add(s segment.Segment) {
	p := heldPacket{begin: s.Sequence, end: s.Sequence + uint32(s.Length), raw: append([]byte(nil), s.Raw...)}
	h.packets = append(h.packets, p)
	h.bytes += len(p.raw)
}

// contains reports whether one of the packets has all data of s.
func (h *held) contains(s segment.Segment) bool {
	end := s.Sequence + uint32(s.Length)
	for _, p := range h.packets {
		if int32(s.Sequence-p.begin) >= 0 && int32(p.end-end) >= 0 {
			return true
		}
	}
	return false
}

// precedes reports whether all data of s comes before the request.
func (h *held) precedes(s segment.Segment) bool {
	return int32(s.Sequence+uint32(s.Length)-h.begin) <= 0
}

// beginsRequest reports whether a packet begins a further request on a flow on which the target has answered one.
func (e *entry) beginsRequest(s segment.Segment) bool {
	return e.phase == open && e.answered && !e.busy && e.hasNewData(s)
}

// mustHold reports whether a request on an open flow waits for its turn. One whose answer would be late after any wait
// goes to the target at once: the target may refuse it while its caller can still try again in time.
func (t *Table) mustHold(now time.Time, key flow.Key, e *entry, s segment.Segment) bool {
	if t.busy < t.openLimit() || !t.mayHold(now) || e.targetClosed || s.Has(segment.RST) {
		return false
	}
	if _, known := t.promises[key.Destination]; !known || t.heldBytes+len(s.Raw) > maxHeldBytes {
		return false
	}
	return now.Before(t.queue.DueAt(t.furtherRequest(now, key), t.workTime(), t.backlog(t.busy)))
}

// furtherRequest is a request on an open flow that arrives now.
func (t *Table) furtherRequest(now time.Time, key flow.Key) admission.Request {
	p := t.promises[key.Destination]
	return admission.Request{Key: key, Open: true, Arrived: now, Aim: p.aim, Timeout: p.timeout, Priority: p.priority, LastSent: now}
}

// mayHold reports whether requests on open flows wait for their turn: not while the agent leaves or its target may have
// stopped.
func (t *Table) mayHold(now time.Time) bool {
	if t.cfg.Without.RequestQueue || t.leaving || !t.silentSince.IsZero() {
		return false
	}
	return t.target.state(now, t.silenceTimeout()) != dsrpb.State_STATE_ABSENT
}

// hold queues a request on an open flow.
func (t *Table) hold(now time.Time, key flow.Key, e *entry, s segment.Segment) {
	e.held = &held{since: now, begin: s.Sequence}
	e.held.add(s)
	t.heldBytes += e.held.bytes
	t.queue.AddOpen(t.furtherRequest(now, key))
	t.reportDecision(now, EventRequestHeld, key, e.origin, t.configuration, dsrpb.Verdict_VERDICT_QUEUED)
}

// keepHeld decides about a packet on a flow whose request is held. It reports whether the packet is kept or is a
// retransmission of one that is; any other goes to the target.
func (t *Table) keepHeld(now time.Time, key flow.Key, e *entry, s segment.Segment) bool {
	switch {
	case s.Has(segment.RST), s.Has(segment.FIN) && s.Length == 0:
		t.cancelHeld(now, key, e)
		return false
	case s.Length == 0, e.held.precedes(s):
		return false
	}
	t.queue.RecordSent(key, now.Sub(e.held.since), 0)
	if e.held.contains(s) || len(e.held.packets) >= maxHeldPackets || t.heldBytes+len(s.Raw) > maxHeldBytes {
		return true
	}
	e.held.add(s)
	t.heldBytes += len(s.Raw)
	return true
}

// cancelHeld drops a held request whose caller has left.
func (t *Table) cancelHeld(now time.Time, key flow.Key, e *entry) {
	waited := now.Sub(e.held.since)
	t.discardHeld(key, e)
	t.reportRequest(now, EventRequestCancelled, key, e, waited, false)
}

// discardHeld forgets the held request of a flow, if there is one.
func (t *Table) discardHeld(key flow.Key, e *entry) {
	if e.held == nil {
		return
	}
	t.queue.Remove(key)
	t.heldBytes -= e.held.bytes
	e.held = nil
}

// handOver passes a held request, which is no longer queued, to the target.
func (t *Table) handOver(now time.Time, r admission.Request) {
	e := t.flows[r.Key]
	h := e.held
	e.held = nil
	t.heldBytes -= h.bytes
	for _, p := range h.packets {
		if s, err := t.codec.Decode(p.raw); err == nil {
			t.pass(now, r.Key, e, s)
		}
	}
	late := !t.queue.Timely(now, r, t.workTime())
	t.reportRequest(now, EventRequestHandedOver, r.Key, e, now.Sub(h.since), late)
}

// handOverDue passes held requests to the target that can wait no longer, or all when none may be held.
func (t *Table) handOverDue(now time.Time) {
	if !t.mayHold(now) {
		t.handOverAll(now)
	}
	for {
		r, ok := t.queue.Due(now, t.workTime(), t.backlog(t.busy))
		if !ok {
			return
		}
		t.serveMoreUrgent(now, r.Priority)
		t.handOver(now, r)
	}
}

// serveMoreUrgent gives the target what waits with a higher priority than a request that it is about to be given.
func (t *Table) serveMoreUrgent(now time.Time, priority int) {
	if priority == 0 {
		return
	}
	for {
		takesNew := t.hasRoom(now)
		r, ok := t.queue.NextOf(now, t.workTime(), func(r admission.Request) bool {
			return r.Priority < priority && (r.Open || takesNew)
		})
		if !ok {
			return
		}
		t.serve(now, r)
	}
}

// serve gives the target a request that is no longer queued.
func (t *Table) serve(now time.Time, r admission.Request) {
	if r.Open {
		t.handOver(now, r)
		return
	}
	e := t.flows[r.Key]
	t.offer(now, r.Key, e, e.packet)
}

// handOverAll passes all held requests to the target.
func (t *Table) handOverAll(now time.Time) {
	for {
		r, ok := t.queue.NextOpen(now, t.workTime())
		if !ok {
			return
		}
		t.handOver(now, r)
	}
}

// handOverClosed passes the held request of a flow that the target has closed, so that its caller learns of it.
func (t *Table) handOverClosed(now time.Time, key flow.Key, e *entry) {
	if e.held == nil {
		return
	}
	if r, ok := t.queue.Take(key); ok {
		t.handOver(now, r)
	}
}

// reportRequest reports a decision about a request on an open flow.
func (t *Table) reportRequest(now time.Time, ev Event, key flow.Key, e *entry, waited time.Duration, late bool) {
	d := t.decision(now, ev, key, e.origin, t.configuration, dsrpb.Verdict_VERDICT_HELD)
	d.Waited, d.Late = waited, late
	t.out.Decided(d)
}
