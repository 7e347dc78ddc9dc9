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

		AnswersQueries:   true,
		Flows:            t.reportedFlows(now),
		RepeatedRequests: t.repeatsRequests(now),
		TargetEnded:      t.target.ended,
	}
	t.announceDemand(now, &t.announcementMsg)
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

// reportedFlows returns the number of connections that count against the limit of the service. Of a target that leaves it
// is the number of flows that have not ended, so that balancers know when it holds none.
func (t *Table) reportedFlows(now time.Time) uint32 {
	if t.State(now) == dsrpb.State_STATE_LEAVING {
		return uint32(t.Unfinished(now, MaxFlowAge))
	}
	return uint32(t.Connections())
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
	e := t.flows[key]
	switch {
	case e != nil && t.lostWithTarget(e):
		return dsrpb.Verdict_VERDICT_NOT_HELD
	case e != nil && e.phase >= open:
		return dsrpb.Verdict_VERDICT_HELD
	case e != nil && e.phase == probing:
		return dsrpb.Verdict_VERDICT_UNKNOWN
	case e != nil:
		return dsrpb.Verdict_VERDICT_QUEUED
	}
	if _, returned := t.notHeld[key]; returned || t.knowsAllFlows(now) {
		return dsrpb.Verdict_VERDICT_NOT_HELD
	}
	return dsrpb.Verdict_VERDICT_UNKNOWN
}

// lostWithTarget reports whether the flow was open when its target's process ended, with no other in its place.
func (t *Table) lostWithTarget(e *entry) bool {
	return t.target.ended && e.phase == open && !e.targetClosed
}

// knowsAllFlows reports whether the agent has seen every open flow of its target.
func (t *Table) knowsAllFlows(now time.Time) bool {
	return t.cfg.First || t.target.ended || t.target.seenFromStart || now.Sub(t.started) > MaxFlowAge
}

// Locate answers a balancer that asks for the owners of flows.
func (t *Table) Locate(now time.Time, balancer netip.AddrPort, m *dsrpb.Message) {
	key, ok := m.Key()
	if !ok {
		return
	}
	t.startMessage(now, dsrpb.Kind_KIND_LOCATED)
	t.msg.Flow = m.Flow
	t.msg.Source, t.msg.Destination = m.Source, m.Destination
	t.msg.Verdict, t.msg.Reference, t.msg.HasSequence = t.locate(now, key, m.Reference)
	t.msg.NewestQuestion, t.msg.Holdings = m.NewestQuestion, t.holdings(now)
	for _, q := range m.Queries {
		key, ok := q.Key()
		if !ok {
			continue
		}
		a := &dsrpb.FlowQuery{Source: q.Source, Destination: q.Destination}
		a.Verdict, a.Reference, a.HasSequence = t.locate(now, key, q.Reference)
		t.msg.Queries = append(t.msg.Queries, a)
	}
	t.out.ToBalancer(balancer, &t.msg)
}

// locate returns the verdict on a flow with the reference of its caller's packets, or the number of the question when
// the flow has none.
func (t *Table) locate(now time.Time, key flow.Key, question uint32) (v dsrpb.Verdict, reference uint32, hasSequence bool) {
	v = t.verdict(now, key)
	if e := t.flows[key]; e != nil && e.hasSequence {
		return v, e.reference(), true
	}
	return v, question, false
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
	t.out.Decided(t.decision(now, ev, key, balancer, configuration, v))
}

func (t *Table) decision(now time.Time, ev Event, key flow.Key, balancer netip.AddrPort, configuration uint64, v dsrpb.Verdict) Decision {
	return Decision{
		Event:         ev,
		Key:           key,
		Hash:          key.Hash(),
		Verdict:       v,
		Busy:          t.Busy(),
		Slots:         t.target.last.Slots,
		ColdPerSecond: t.ColdPerSecond(now),
		Balancer:      balancer,
		Configuration: configuration,
	}
}
