package policy

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	saturation "github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// balancerNode is a balancer's VM.
type balancerNode struct {
	w       *world
	index   int
	address netip.AddrPort
	core    *dispatch.Balancer
	up      bool
	downAt  time.Time
	// tickAt is when the next call of Tick is due.
	tickAt time.Time
}

func (w *world) addBalancer(i int) {
	b := &balancerNode{w: w, index: i, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7100)}
	w.balancers = append(w.balancers, b)
	b.start()
	b.markRunningPeriodically()
}

func (b *balancerNode) start() {
	b.core = dispatch.NewBalancer(dispatch.Config{DataCentre: b.w.dataCentreName(b.index), Without: b.w.o.Without}, dsrtest.Codec{}, b, b.w.now())
	b.core.SetRoutes(b.w.now(), b.w.routes())
	b.up, b.tickAt = true, time.Time{}
	b.schedule()
}

// markRunningPeriodically calls MarkRunning at each markRunningInterval while the balancer is up.
func (b *balancerNode) markRunningPeriodically() {
	if b.up {
		b.core.MarkRunning(b.w.now())
	}
	b.w.after(markRunningInterval, b.markRunningPeriodically)
}

func (w *world) dataCentreName(index int) string { return fmt.Sprintf("dc-%d", w.dataCentre(index)+1) }

// inRotation reports whether the routers send packets to the balancer. During a power loss all balancers are in
// rotation.
func (b *balancerNode) inRotation(now time.Time) bool {
	return b.up || now.Sub(b.downAt) < failoverDelay || b.w.powerLost
}

func (b *balancerNode) fromCaller(raw []byte) {
	if s, err := (dsrtest.Codec{}).Decode(raw); err == nil && b.up {
		b.core.FromCaller(b.w.now(), s)
		b.schedule()
	}
}

func (b *balancerNode) fromAgent(from netip.AddrPort, raw []byte) {
	var m dsrpb.Message
	if b.up && m.UnmarshalVT(raw) == nil {
		b.core.FromAgent(b.w.now(), from, &m)
		b.schedule()
		if m.Kind == dsrpb.Kind_KIND_ANNOUNCE {
			b.sendMedianResponses(from)
		}
	}
}

// sendMedianResponses answers an announcement with the median responses of the other targets.
func (b *balancerNode) sendMedianResponses(to netip.AddrPort) {
	median := b.core.Usual(b.w.now(), to)
	for _, a := range b.w.agents {
		if a.address == to {
			b.w.deliver(b.w.delayBetween(b.index, a.index), func() { a.table.Usual(median) })
		}
	}
}

// schedule schedules the next call of Tick at the deadline of the core.
func (b *balancerNode) schedule() {
	at := b.core.Deadline()
	if !b.tickAt.IsZero() && !at.Before(b.tickAt) {
		return
	}
	b.tickAt = at
	core := b.core
	b.w.at(at, func() {
		if b.core != core || !b.up || !b.tickAt.Equal(at) {
			return
		}
		b.tickAt = time.Time{}
		b.core.Tick(b.w.now())
		b.schedule()
	})
}

// ToAgent implements dispatch.Output.
func (b *balancerNode) ToAgent(to netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	for _, a := range b.w.agents {
		if a.address == to {
			b.w.deliver(b.w.delayBetween(b.index, a.index), func() { a.fromBalancer(b.address, raw) })
		}
	}
}

// Reset implements dispatch.Output.
func (b *balancerNode) Reset(key flow.Key, sequence uint32) {
	b.w.toCaller(key.Source, dsrtest.Codec{}.Reset(key, sequence))
}

// Refused implements dispatch.Output.
func (b *balancerNode) Refused(r dispatch.Refusal) {
	b.w.result.Refusals++
	if r.Notified {
		b.w.result.Notified++
	}
}

// Decided implements dispatch.Output.
func (b *balancerNode) Decided(d dispatch.Decision) {
	if d.Event == dispatch.EventUnanswered {
		b.w.result.Unanswered++
	}
}

// Outdated implements dispatch.Output; the configuration never changes during a run.
func (b *balancerNode) Outdated(uint64) {}

// SaturationChanged implements dispatch.Output.
func (b *balancerNode) SaturationChanged(saturation.Status) { b.w.result.Saturations++ }

// agentNode is a target's VM with its agent.
type agentNode struct {
	w       *world
	index   int
	address netip.AddrPort
	table   *ownership.Table
	up      bool
	tickAt  time.Time
	target  *target
}

func (w *world) addAgent(i int) {
	a := &agentNode{w: w, index: i, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 7200)}
	a.target = &target{w: w, agent: a, share: 1, slow: 1}
	w.agents = append(w.agents, a)
	a.target.start(true)
	a.start(true)
	a.announcePeriodically()
}

func (a *agentNode) start(first bool) {
	a.w.incarnations++
	a.table = ownership.NewTable(ownership.Config{
		Service: serviceName, HeartbeatInterval: heartbeatInterval, First: first, DataCentre: a.w.dataCentreName(a.index),
		Incarnation: a.w.incarnations, Without: a.w.o.Without,
	}, dsrtest.Codec{}, a, a.w.now())
	a.up, a.tickAt = true, time.Time{}
	table := a.table
	a.w.after(probeDelay, func() {
		if a.table == table && a.up {
			a.checkTarget()
		}
	})
	a.schedule()
}

// checkTarget applies the answer of the target to a health check.
func (a *agentNode) checkTarget() {
	n := announcement.HealthCheck{ID: a.target.id, StartedMs: a.target.born, Ready: true, Began: a.w.now()}
	if a.target.up && a.table.HealthChecked(a.w.now(), n) {
		a.announce()
	}
}

// receiveHeartbeat passes a heartbeat of the target to the agent.
func (a *agentNode) receiveHeartbeat(n announcement.Announcement) {
	if !a.up {
		return
	}
	if notify, err := a.table.Announce(a.w.now(), n); notify && err == nil {
		a.announce()
	}
	if a.table.AwaitsProof(a.w.now()) {
		a.checkTarget()
	}
	a.schedule()
}

func (a *agentNode) announcePeriodically() {
	a.announce()
	a.w.after(a.w.announceInterval(), a.announcePeriodically)
}

func (a *agentNode) announce() {
	if !a.up {
		return
	}
	raw, _ := a.table.Announcement(a.w.now(), true, a.w.announceInterval()).MarshalVT()
	for _, b := range a.w.balancers {
		a.w.deliver(a.w.delayBetween(a.index, b.index), func() { b.fromAgent(a.address, raw) })
	}
}

func (a *agentNode) fromBalancer(from netip.AddrPort, raw []byte) {
	var m dsrpb.Message
	if !a.up || m.UnmarshalVT(raw) != nil {
		return
	}
	if m.Kind == dsrpb.Kind_KIND_LOCATE {
		a.table.Locate(a.w.now(), from, &m)
	} else if s, err := (dsrtest.Codec{}).Decode(m.Packet); err == nil {
		a.table.Forward(a.w.now(), from, &m, s)
	}
	a.schedule()
}

func (a *agentNode) fromTarget(raw []byte) {
	if s, err := (dsrtest.Codec{}).Decode(raw); err == nil && a.up {
		a.table.FromTarget(a.w.now(), s)
		a.schedule()
	}
}

// schedule schedules the next call of Tick at the deadline of the table.
func (a *agentNode) schedule() {
	at := a.table.Deadline()
	if !a.tickAt.IsZero() && !at.Before(a.tickAt) {
		return
	}
	a.tickAt = at
	table := a.table
	a.w.at(at, func() {
		if a.table != table || !a.up || !a.tickAt.Equal(at) {
			return
		}
		a.tickAt = time.Time{}
		a.table.Tick(a.w.now())
		a.schedule()
	})
}

// ToTarget implements ownership.Output.
func (a *agentNode) ToTarget(raw []byte) {
	raw = append([]byte(nil), raw...)
	a.w.after(localDelay, func() { a.target.receive(raw) })
}

// ToCaller implements ownership.Output.
func (a *agentNode) ToCaller(key flow.Key, raw []byte) { a.w.toCaller(key.Source, raw) }

// Reset implements ownership.Output.
func (a *agentNode) Reset(key flow.Key, sequence uint32) {
	a.w.toCaller(key.Source, dsrtest.Codec{}.Reset(key, sequence))
}

// ToBalancer implements ownership.Output.
func (a *agentNode) ToBalancer(to netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	for _, b := range a.w.balancers {
		if b.address == to {
			a.w.deliver(a.w.delayBetween(a.index, b.index), func() { b.fromAgent(a.address, raw) })
		}
	}
}

// Decided implements ownership.Output.
func (a *agentNode) Decided(d ownership.Decision) {
	if d.Event == ownership.EventAbandoned {
		a.w.result.Abandoned++
	}
}

// HealthChanged implements ownership.Output: it announces the new state at once.
func (a *agentNode) HealthChanged(ownership.HealthChange) { a.w.after(0, a.announce) }
