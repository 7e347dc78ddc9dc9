package ownership

import (
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Announcement describes the agent and its target for the balancers; it is valid until the next call. Joined tells the receiver
// that the agent hears of it, next is the time until the next announcement.
func (t *Table) Announcement(now time.Time, joined bool, next time.Duration) *dsrpb.Message {
	t.announced = dsrpb.Announcement{
		DataCentre:  t.cfg.DataCentre,
		Region:      t.cfg.Region,
		State:       t.State(now),
		Slots:       uint32(t.target.last.Slots),
		Incarnation: t.cfg.Incarnation,
		Joined:      joined,
		Failing:     t.failing(now),
		IntervalMs:  uint32(next / time.Millisecond),
		Answers:     t.toldLeast(),
	}
	t.begin(now, dsrpb.Kind_KIND_ANNOUNCE)
	t.reply.Announcement = &t.announced
	return &t.reply
}

// begin begins a message with what each one tells balancers of the target; it is valid until the next message.
func (t *Table) begin(now time.Time, k dsrpb.Kind) {
	t.reply = dsrpb.Message{
		Kind:           k,
		Service:        t.cfg.Service,
		Configuration:  t.configuration,
		Busy:           uint32(t.Busy()),
		WorkUs:         t.toldWork(now),
		Cold:           t.toldCold(now),
		FlowsPerSecond: float32(t.rate.PerSecond(now)),
	}
}

// verdict says whether the target holds a flow.
func (t *Table) verdict(now time.Time, key flow.Key) dsrpb.Verdict {
	if e := t.flows[key]; e != nil && e.phase >= open {
		return dsrpb.Verdict_VERDICT_HELD
	} else if e != nil && e.phase != probing {
		return dsrpb.Verdict_VERDICT_QUEUED
	}
	if _, returned := t.notHeld[key]; returned || t.complete(now) {
		return dsrpb.Verdict_VERDICT_NOT_HELD
	}
	return dsrpb.Verdict_VERDICT_UNKNOWN
}

// complete reports whether the agent has seen every open flow of its target.
func (t *Table) complete(now time.Time) bool {
	return t.cfg.First || t.target.seenFirst || now.Sub(t.started) > MaxFlowAge
}

// Locate answers a balancer that asks for the owner of a flow.
func (t *Table) Locate(now time.Time, balancer netip.AddrPort, m *dsrpb.Message) {
	key, ok := m.Key()
	if !ok {
		return
	}
	e := t.flows[key]
	t.begin(now, dsrpb.Kind_KIND_LOCATED)
	t.reply.Flow = m.Flow
	t.reply.Source, t.reply.Destination = m.Source, m.Destination
	t.reply.Verdict = t.verdict(now, key)
	if e != nil && e.hasSequence {
		t.reply.HasSequence, t.reply.Reference = true, e.reference()
	}
	t.out.ToBalancer(balancer, &t.reply)
}

// accepted tells the balancer that the target holds the flow.
func (t *Table) accepted(now time.Time, key flow.Key, e *entry) {
	if !e.origin.IsValid() {
		return
	}
	t.begin(now, dsrpb.Kind_KIND_ACCEPTED)
	t.reply.Flow = key.Hash()
	t.reply.Verdict = dsrpb.Verdict_VERDICT_HELD
	t.reply.HasSequence, t.reply.Reference = e.hasSequence, e.reference()
	t.reply.SetKey(key)
	t.out.ToBalancer(e.origin, &t.reply)
}

// decline answers a balancer that a packet was not taken, and reports it.
func (t *Table) decline(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, key flow.Key, v dsrpb.Verdict, raw []byte) {
	t.decided(now, EventDeclined, key, balancer, m.Configuration, v)
	t.returned(now, balancer, m, key, v, raw)
}

// returned answers a balancer that a packet was not taken.
func (t *Table) returned(now time.Time, balancer netip.AddrPort, m *dsrpb.Message, key flow.Key, v dsrpb.Verdict, raw []byte) {
	t.begin(now, dsrpb.Kind_KIND_RETURNED)
	t.reply.Flow = m.Flow
	t.reply.Verdict = v
	t.reply.Packet = raw
	t.reply.SetKey(key)
	t.out.ToBalancer(balancer, &t.reply)
}

func (t *Table) decided(now time.Time, ev Event, key flow.Key, balancer netip.AddrPort, configuration uint64, v dsrpb.Verdict) {
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
