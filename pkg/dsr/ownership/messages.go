package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Announcement describes the agent and its target for the balancers; it is valid until the next call. Joined reports
// to the receiver that the agent has received messages from it lately, next is the time until the next announcement.
func (t *Table) Announcement(now time.Time, joined bool, next time.Duration) *dsrpb.Message {
	t.announcementMsg = dsrpb.Announcement{
		DataCentre:  t.cfg.DataCentre,
		Region:      t.cfg.Region,
		State:       t.State(now),
		Slots:       uint32(t.target.last.Slots),
		Incarnation: t.cfg.Incarnation,
		Joined:      joined,
		Failing:     t.failing(now),
		IntervalMs:  uint32(next / time.Millisecond),
		Answers:     t.reportedMinAnswers(),
		RunningMs:   t.reportedRunning(now),

		RepeatedRequests: t.holdsRepeatedRequests(now),
	}
	t.startMessage(now, dsrpb.Kind_KIND_ANNOUNCE)
	t.msg.Announcement = &t.announcementMsg
	return &t.msg
}

// reportedRunning returns the milliseconds since the agent's start, at least 1, while it may not know every flow of its
// target, and 0 otherwise.
func (t *Table) reportedRunning(now time.Time) uint32 {
	if t.knowsAllFlows(now) {
		return 0
	}
	return uint32(max(1, now.Sub(t.started)/time.Millisecond))
}

// startMessage initialises a message with the target's state that every message carries; it is valid until the next
// message.
func (t *Table) startMessage(now time.Time, k dsrpb.Kind) {
	t.msg = dsrpb.Message{
		Kind:           k,
		Service:        t.cfg.Service,
		Configuration:  t.configuration,
		Busy:           uint32(t.Busy()),
		WorkUs:         t.reportedWorkTime(now),
		Cold:           t.reportedCold(now),
		FlowsPerSecond: float32(t.rate.PerSecond(now)),
	}
}

// verdict returns whether the target holds a flow.
func (t *Table) verdict(now time.Time, key flow.Key) dsrpb.Verdict {
	if e := t.flows[key]; e != nil && e.phase >= open {
		return dsrpb.Verdict_VERDICT_HELD
	} else if e != nil && e.phase != probing {
		return dsrpb.Verdict_VERDICT_QUEUED
	}
	if _, returned := t.notHeld[key]; returned || t.knowsAllFlows(now) {
		return dsrpb.Verdict_VERDICT_NOT_HELD
	}
	return dsrpb.Verdict_VERDICT_UNKNOWN
}

// knowsAllFlows reports whether the agent has seen every open flow of its target.
func (t *Table) knowsAllFlows(now time.Time) bool {
	return t.cfg.First || t.target.sawFirstAnnouncement || now.Sub(t.started) > MaxFlowAge
}

// Locate answers a balancer that asks for the owner of a flow.
func (t *Table) Locate(now time.Time, balancer netip.AddrPort, m *dsrpb.Message) {
	key, ok := m.Key()
	if !ok {
		return
	}
	e := t.flows[key]
	t.startMessage(now, dsrpb.Kind_KIND_LOCATED)
	t.msg.Flow = m.Flow
	t.msg.Source, t.msg.Destination = m.Source, m.Destination
	t.msg.Verdict = t.verdict(now, key)
	if e != nil && e.hasSequence {
		t.msg.HasSequence, t.msg.Reference = true, e.reference()
	}
	t.out.ToBalancer(balancer, &t.msg)
}

// sendAccepted notifies the balancer that the target holds the flow.
func (t *Table) sendAccepted(now time.Time, key flow.Key, e *entry) {
	if !e.origin.IsValid() {
		return
	}
	t.startMessage(now, dsrpb.Kind_KIND_ACCEPTED)
	t.msg.Flow = key.Hash()
	t.msg.Verdict = dsrpb.Verdict_VERDICT_HELD
	t.msg.HasSequence, t.msg.Reference = e.hasSequence, e.reference()
	t.msg.SetKey(key)
	t.out.ToBalancer(e.origin, &t.msg)
}

// decline sends a balancer the verdict on a packet that was not accepted, and reports the decision.
func (t *Table) decline(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, key flow.Key, v dsrpb.Verdict, raw []byte) {
	t.reportDecision(now, EventDeclined, key, balancer, m.Configuration, v)
	t.sendReturned(now, balancer, m, key, v, raw)
}

// sendReturned sends a balancer a verdict other than acceptance, with the packet when it has to go elsewhere.
func (t *Table) sendReturned(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, key flow.Key, v dsrpb.Verdict, raw []byte) {
	t.startMessage(now, dsrpb.Kind_KIND_RETURNED)
	t.msg.Flow = m.Flow
	t.msg.Verdict = v
	t.msg.Packet = raw
	t.msg.SetKey(key)
	t.out.ToBalancer(balancer, &t.msg)
}

func (t *Table) reportDecision(now time.Time, ev Event, key flow.Key, balancer netip.AddrPort, configuration uint64, v dsrpb.Verdict) {
	t.out.Decided(Decision{
		Event:         ev,
		Key:           key,
		Hash:          key.Hash(),
		Verdict:       v,
		Busy:          t.Busy(),
		Slots:         t.target.last.Slots,
		ColdPerSecond: t.ColdPerSecond(now),
		Balancer:      balancer,
		Configuration: configuration,
	})
}
