package dispatch

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// accepted records that a target holds the flow.
func (b *Balancer) accepted(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	if a := b.agents[from]; a != nil && f.service == "" {
		f.service = a.service
	}
	if f.phase == opening && f.asked == from {
		b.recordAnswerTime(now, f)
	}
	f.addOwner(owner{agent: from, hasSequence: m.HasSequence, sequence: m.Reference})
	if f.phase == open || f.phase == refused || !b.hasChosenOwner(f) {
		return
	}
	event := EventPlaced
	if f.phase == locating || f.phase == probing {
		event = EventLocated
	}
	b.reportDecision(now, event, f, from, m.Verdict)
	f.endGroup(from)
	b.opened(now, f)
}

// hasChosenOwner reports whether the target that the caller chose is a known owner, as far as the held packets show.
func (b *Balancer) hasChosenOwner(f *flowState) bool {
	first := f.firstHeld()
	if first == nil {
		return true
	}
	s, err := b.codec.Decode(first)
	if err != nil {
		return true
	}
	_, ok := f.ownerOf(s.Acknowledgement)
	return ok
}

// opened marks the flow as open and sends the packets that were held for its owner.
func (b *Balancer) opened(now time.Time, f *flowState) {
	f.phase, f.since = open, now
	f.packet, f.tried, f.failed = nil, nil, nil
	f.undetermined, f.unasked, f.unanswered, f.probed = nil, nil, nil, nil
	f.evidence, f.gone = nil, false
	held := f.held
	f.held = nil
	for _, raw := range held {
		s, err := b.codec.Decode(raw)
		if err == nil {
			b.toOwner(now, f, s)
		}
	}
}

// returned handles an agent's message that it did not take a packet.
func (b *Balancer) returned(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	if m.Verdict == dsrpb.Verdict_VERDICT_RESET {
		f.owners = nil
		b.recordRefusal(now, f, refusal.ReasonTargetDied, refusal.RunUnknown, true)
		return
	}
	if m.Verdict == dsrpb.Verdict_VERDICT_NOT_HELD || len(m.Packet) > 0 {
		b.notHeld(now, f, from, m)
		return
	}
	if f.phase != opening && f.phase != queued || f.asked != from {
		return
	}
	if f.phase == opening && m.Verdict != dsrpb.Verdict_VERDICT_SILENT {
		b.recordAnswerTime(now, f)
	}
	if m.Verdict == dsrpb.Verdict_VERDICT_QUEUED {
		f.phase = queued
		return
	}
	b.reportDecision(now, EventDeclined, f, from, m.Verdict)
	if a := b.agents[from]; a != nil {
		a.opened = max(0, a.opened-1)
	}
	switch m.Verdict {
	case dsrpb.Verdict_VERDICT_STALE:
		b.park(now, f)
		f.stale = true
		return
	case dsrpb.Verdict_VERDICT_GIVEN_UP:
		b.refuse(now, f, refusal.ReasonDeadline)
		return
	case dsrpb.Verdict_VERDICT_BUSY:
		f.overloaded = false
	case dsrpb.Verdict_VERDICT_OVERLOADED:
		f.overloaded = true
	case dsrpb.Verdict_VERDICT_CONNECTIONS:
		f.overLimit++
		f.failed = append(f.failed, from)
		if a := b.agents[from]; a != nil {
			a.recordFull(now, int(f.opening.MaxConnections))
		}
	default:
		f.failed = append(f.failed, from)
		if a := b.agents[from]; a != nil && declinesAllFlows(m.Verdict) {
			a.state = dsrpb.State_STATE_LEAVING
		}
	}
	b.offerNext(now, f)
}

// declinesAllFlows reports whether an agent that gives this verdict declines every new flow.
func declinesAllFlows(v dsrpb.Verdict) bool {
	return v == dsrpb.Verdict_VERDICT_LEAVING || v == dsrpb.Verdict_VERDICT_EVACUATED
}

// notHeld takes back a packet of a flow that the agent's target does not hold.
func (b *Balancer) notHeld(now time.Time, f *flowState, from netip.AddrPort, m *dsrpb.Message) {
	if !f.isOwner(from) && f.group.takeOutstanding(from) {
		b.groupProbeReturned(now, f, from, m)
		return
	}
	f.dropOwner(from)
	if f.phase == probing && f.asked == from {
		if len(m.Packet) > 0 {
			f.held = append([][]byte{append([]byte(nil), m.Packet...)}, f.held...)
		}
		b.probeNext(now, f)
		return
	}
	s, err := b.codec.Decode(m.Packet)
	if err != nil || s.IsOpening() {
		return
	}
	switch f.phase {
	case open:
		b.toOwner(now, f, s)
	case locating:
		f.hold(s.Raw)
	}
}
