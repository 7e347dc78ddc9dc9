package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// simulation connects balancers and agents in virtual time by a network that loses, delays and reorders messages.
// Callers send each packet to a random balancer and retransmit what is not answered.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	events    events
	sequence  int
	loss      float64
	balancers []*balancerNode
	agents    []*agentNode
	callers   map[netip.AddrPort]*caller
	version   uint64
	initial   uint32
	// cuts are the links that carry nothing.
	cuts map[link]bool
	// leads is the service to which each address leads, led are all to which it ever led.
	leads map[netip.AddrPort]string
	led   map[directory.Route]bool
	// stored is the list of agents with routes that starting balancers read, nil for one without routes.
	stored *directory.Snapshot
	// without is what balancers have switched off.
	without policy.Without
	// wrongResets are the resets of flows whose targets hold them.
	wrongResets []string
	// failures, wrongService, misdelivered and offeredWhileDraining list violated guarantees.
	failures, wrongService, misdelivered, offeredWhileDraining []string
}

// link is a pair of a balancer and an agent.
type link struct{ balancer, agent netip.AddrPort }

// isHeld reports whether the target that the caller chose runs and holds the flow.
func (w *simulation) isHeld(c *caller) bool {
	for _, a := range w.agents {
		if f := a.target[c.address]; f != nil && c.ack == f.initial+1 {
			return true
		}
	}
	return false
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *simulation) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.sequence, do: do})
}

// deliver runs do after a random network delay, or never.
func (w *simulation) deliver(do func()) {
	if w.random.Float64() < w.loss {
		return
	}
	w.after(time.Duration(100+w.random.IntN(2900))*time.Microsecond, do)
}

// run processes all events until a time.
func (w *simulation) run(until time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// balancerNode is a balancer; a restart replaces its core.
type balancerNode struct {
	w    *simulation
	addr netip.AddrPort
	core *dispatch.Balancer
	up   bool
	// asked and foreign record by flow which agents were asked, and which targets that do not hold it got a packet and when.
	asked   map[netip.AddrPort]map[netip.AddrPort]bool
	foreign map[netip.AddrPort]map[netip.AddrPort]time.Time
	served  map[netip.AddrPort]bool
}

func (w *simulation) addBalancer(i int) {
	b := &balancerNode{w: w, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7100)}
	w.balancers = append(w.balancers, b)
	b.start()
}

func (b *balancerNode) start() {
	b.core, b.up = dispatch.NewBalancer(dispatch.Config{DataCentre: "dc-1", Without: b.w.without}, dsrtest.Codec{}, b, b.w.now), true
	b.asked, b.foreign, b.served = make(map[netip.AddrPort]map[netip.AddrPort]bool), make(map[netip.AddrPort]map[netip.AddrPort]time.Time), make(map[netip.AddrPort]bool)
	b.core.SetRoutes(b.w.now, b.w.routes())
}

func (w *simulation) routes() *routing.Table {
	c := configuration.Configuration{Version: w.version}
	for _, s := range services {
		c.Routes = append(c.Routes, configuration.Route{Destination: s.address, Shares: []configuration.Share{{Service: w.leads[s.address], Weight: 1}}})
	}
	return routing.NewTable(c)
}

// ToAgent implements dispatch.Output.
func (b *balancerNode) ToAgent(to netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	b.recordAsked(to, m)
	b.w.deliver(func() {
		for _, a := range b.w.agents {
			if a.addr == to && a.up && !b.w.cuts[link{b.addr, to}] {
				a.receive(b.addr, raw)
			}
		}
	})
}

// Reset implements dispatch.Output.
func (b *balancerNode) Reset(key flow.Key, _ uint32) { b.w.reset(key) }
func (b *balancerNode) Refused(dispatch.Refusal)     {}
func (b *balancerNode) Decided(dispatch.Decision)    {}
func (b *balancerNode) Outdated(uint64)              { b.core.SetRoutes(b.w.now, b.w.routes()) }

func (b *balancerNode) SaturationChanged(overload.Status) {}
func (b *balancerNode) receive(from netip.AddrPort, raw []byte) {
	var m dsrpb.Message
	if b.up && !b.w.cuts[link{b.addr, from}] && m.UnmarshalVT(raw) == nil {
		b.core.FromAgent(b.w.now, from, &m)
	}
}

func (w *simulation) reset(key flow.Key) {
	raw := dsrtest.Codec{}.Reset(key, 0)
	w.deliver(func() { w.toCaller(raw) })
}

func (w *simulation) toCaller(raw []byte) {
	s, err := dsrtest.Codec{}.Decode(raw)
	if err != nil {
		return
	}
	if c := w.callers[s.Destination]; c != nil {
		c.receive(s)
	}
}

// agentNode is an agent with its target; the target keeps running while the agent is down.
type agentNode struct {
	w              *simulation
	addr           netip.AddrPort
	service        string
	table          *ownership.Table
	up             bool
	target         map[netip.AddrPort]*held
	targetSequence uint64
	targetStarted  time.Time
	// from is the balancer whose packet the agent handles.
	from     netip.AddrPort
	draining time.Time
}

// held is a flow at a target.
type held struct {
	initial uint32
	open    bool
	closed  bool
}

func (w *simulation) addAgent(i int, service string, first bool) {
	a := &agentNode{
		w: w, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 7200), service: service,
		target: make(map[netip.AddrPort]*held), targetStarted: w.now,
	}
	w.agents = append(w.agents, a)
	a.start(first)
	a.announceTarget()
}

func (a *agentNode) start(first bool) {
	cfg := ownership.Config{Service: a.service, HeartbeatInterval: heartbeat, First: first, DataCentre: "dc-1", Incarnation: a.w.random.Uint64()}
	a.table, a.up = ownership.NewTable(cfg, dsrtest.Codec{}, a, a.w.now), true
}

// announceTarget announces the target to its agent, and schedules the next announcement.
func (a *agentNode) announceTarget() {
	if a.target == nil {
		a.w.after(heartbeat, a.announceTarget)
		return
	}
	a.targetSequence++
	n := announcement.Announcement{ID: a.addr.String(), Service: a.service, Slots: 3, Sequence: a.targetSequence, StartedMs: uint64(a.targetStarted.UnixMilli())}
	if !a.draining.IsZero() {
		n.State = announcement.Draining
	}
	if a.up {
		_, _ = a.table.Announce(a.w.now, n)
		a.proveTarget(n)
	}
	a.w.after(heartbeat, a.announceTarget)
}

// proveTarget has the running target, which has just reported, answer the health check that the agent asks for.
func (a *agentNode) proveTarget(n announcement.Announcement) {
	if a.table.AwaitsProof(a.w.now) {
		a.table.HealthChecked(a.w.now, announcement.HealthCheck{ID: n.ID, StartedMs: n.StartedMs, Ready: n.State == announcement.Ready, Began: a.w.now})
	}
}

// announce sends the agent's announcement to every balancer.
func (a *agentNode) announce() {
	if !a.up {
		return
	}
	raw, _ := a.table.Announcement(a.w.now, true, 0).MarshalVT()
	for _, b := range a.w.balancers {
		a.w.deliver(func() { b.receive(a.addr, raw) })
	}
}

func (a *agentNode) receive(from netip.AddrPort, raw []byte) {
	var m dsrpb.Message
	if m.UnmarshalVT(raw) != nil {
		return
	}
	if m.Kind == dsrpb.Kind_KIND_LOCATE {
		a.table.Locate(a.w.now, from, &m)
		return
	}
	if s, err := (dsrtest.Codec{}).Decode(m.Packet); err == nil {
		a.from = from
		a.table.Forward(a.w.now, from, &m, s)
		a.from = netip.AddrPort{}
	}
}

// ToTarget implements ownership.Output.
func (a *agentNode) ToTarget(raw []byte) {
	raw = append([]byte(nil), raw...)
	from := a.from
	a.w.after(50*time.Microsecond, func() { a.atTarget(raw, from) })
}

// ToCaller implements ownership.Output.
func (a *agentNode) ToCaller(_ flow.Key, raw []byte) {
	raw = append([]byte(nil), raw...)
	a.w.deliver(func() { a.w.toCaller(raw) })
}

// ToBalancer implements ownership.Output.
func (a *agentNode) ToBalancer(to netip.AddrPort, m *dsrpb.Message) {
	raw, _ := m.MarshalVT()
	a.w.deliver(func() {
		for _, b := range a.w.balancers {
			if b.addr == to {
				b.receive(a.addr, raw)
			}
		}
	})
}

func (a *agentNode) Reset(key flow.Key, _ uint32)         { a.w.reset(key) }
func (a *agentNode) Decided(ownership.Decision)           {}
func (a *agentNode) HealthChanged(ownership.HealthChange) {}

// fromTarget passes a packet of the target to the agent; it is lost while the agent is down.
func (a *agentNode) fromTarget(raw []byte) {
	if s, err := (dsrtest.Codec{}).Decode(raw); err == nil && a.up {
		a.table.FromTarget(a.w.now, s)
	}
}

// atTarget acts as the target: it answers opening packets and requests, and returns packets of flows that it does not
// hold.
func (a *agentNode) atTarget(raw []byte, from netip.AddrPort) {
	s, err := dsrtest.Codec{}.Decode(raw)
	if err != nil || a.target == nil {
		return
	}
	c := a.w.callers[s.Source]
	if !a.w.led[directory.Route{Address: c.service.address, Service: a.service}] {
		a.w.wrongService = append(a.w.wrongService, s.Source.String())
	}
	f := a.target[s.Source]
	reply := dsrtest.Packet{Source: s.Destination, Destination: s.Source}
	switch {
	case s.IsOpening():
		if !a.draining.IsZero() && f == nil {
			a.w.offeredWhileDraining = append(a.w.offeredWhileDraining, s.Source.String())
		}
		if f == nil {
			a.w.initial += initialStep
			f = &held{initial: a.w.initial}
			a.target[s.Source] = f
		}
		reply.Flags, reply.Sequence = segment.SYN|segment.ACK, f.initial
		a.fromTarget(dsrtest.Encode(reply))
	case f == nil || s.Acknowledgement != f.initial+1:
		a.w.recordMisdelivery(a, s.Source)
		a.w.recordForeign(from, a, s.Source)
		raw[0] |= byte(segment.Returned)
		a.fromTarget(raw)
	default:
		f.open = true
		a.w.recordServed(from, s.Source)
		a.answer(f, s, reply)
	}
}

func (a *agentNode) answer(f *held, s segment.Segment, reply dsrtest.Packet) {
	reply.Flags, reply.Sequence = segment.ACK, s.Acknowledgement
	if s.Has(segment.FIN) {
		f.closed = true
		reply.Flags |= segment.FIN
		a.fromTarget(dsrtest.Encode(reply))
		return
	}
	reply.Data = append([]byte(a.addr.String()+" "), dsrtest.Data(s.Raw)...)
	started := a.targetStarted
	a.w.after(workTime, func() {
		if a.target != nil && a.targetStarted.Equal(started) {
			a.fromTarget(dsrtest.Encode(reply))
		}
	})
}

// recordMisdelivery records a packet of a flow that another target holds open.
func (w *simulation) recordMisdelivery(at *agentNode, source netip.AddrPort) {
	for _, other := range w.agents {
		if f := other.target[source]; other != at && f != nil && f.open && !f.closed {
			w.misdelivered = append(w.misdelivered, source.String())
		}
	}
}
