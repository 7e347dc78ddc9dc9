package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

var (
	start   = time.Unix(1000, 0)
	service = netip.MustParseAddrPort("198.18.0.1:443")
	reports = netip.MustParseAddrPort("198.18.0.2:443")
)

// sent is one message to an agent.
type sent struct {
	to       netip.AddrPort
	kind     dsrpb.Kind
	service  string
	patience dsrpb.Patience
	owner    bool
	packet   string
	opens    bool
	age      time.Duration
	// flows are those that are asked about.
	flows []flow.Key
}

// recorder records the output of a balancer.
type recorder struct {
	messages  []sent
	resets    []flow.Key
	refusals  []Refusal
	decisions []Decision
	outdated  uint64
	// saturations are the begins and ends of overload.
	saturations []overload.Status
}

func (r *recorder) ToAgent(to netip.AddrPort, m *dsrpb.Message) {
	one := sent{to: to, kind: m.Kind, service: m.Service, patience: m.Patience, owner: m.Owner}
	if s, err := (dsrtest.Codec{}).Decode(m.Packet); err == nil {
		one.packet, one.opens, one.age = string(dsrtest.Data(m.Packet)), s.IsOpening(), s.Age
	}
	if key, ok := m.Key(); ok && m.Kind == dsrpb.Kind_KIND_LOCATE {
		one.flows = append(one.flows, key)
	}
	for _, q := range m.Queries {
		if key, ok := q.Key(); ok {
			one.flows = append(one.flows, key)
		}
	}
	r.messages = append(r.messages, one)
}
func (r *recorder) Reset(key flow.Key, _ uint32) { r.resets = append(r.resets, key) }
func (r *recorder) Refused(x Refusal)            { r.refusals = append(r.refusals, x) }
func (r *recorder) Decided(d Decision)           { r.decisions = append(r.decisions, d) }
func (r *recorder) Outdated(v uint64)            { r.outdated = v }

func (r *recorder) SaturationChanged(s overload.Status) { r.saturations = append(r.saturations, s) }

// keyOf returns the key of the flow from a caller's port.
func keyOf(port int) flow.Key {
	return flow.Key{Source: caller(port), Destination: service, Protocol: flow.ProtocolTCP}
}

// fixture is a balancer in data centre dc-1 that started long enough ago to refuse flows.
type fixture struct {
	*testing.T
	b   *Balancer
	out *recorder
	now time.Time
}

func table(version uint64, routes ...configuration.Route) *routing.Table {
	return routing.NewTable(configuration.Configuration{Version: version, Routes: routes})
}

func route(to netip.AddrPort, service string) configuration.Route {
	return configuration.Route{Destination: to, Shares: []configuration.Share{{Service: service, Weight: 1}}}
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, out: &recorder{}, now: start}
	f.b = NewBalancer(Config{DataCentre: "dc-1"}, dsrtest.Codec{}, f.out, start.Add(-time.Minute))
	f.b.SetRoutes(start, table(5, route(service, "route-svc"), route(reports, "reports-svc")))
	return f
}

func agentAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7200)
}

// announce delivers an announcement of agent i.
func (f *fixture) announce(i int, service, dataCentre string, state dsrpb.State, busy uint32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: service, Busy: busy,
		Announcement: &dsrpb.Announcement{DataCentre: dataCentre, State: state, Slots: 2, Incarnation: uint64(i)},
	})
}

func (f *fixture) announceReady(i int, dataCentre string, busy uint32) {
	f.announce(i, "route-svc", dataCentre, dsrpb.State_STATE_READY, busy)
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.b.Tick(f.now)
}

func caller(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))
}

func (f *fixture) packet(p dsrtest.Packet) {
	s, err := dsrtest.Codec{}.Decode(dsrtest.Encode(p))
	require.NoError(f, err)
	f.b.FromCaller(f.now, s)
}

func (f *fixture) open(port int) {
	f.packet(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.SYN, Sequence: 7})
}

func (f *fixture) data(port int, ack uint32, text string) {
	f.packet(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.ACK, Acknowledgement: ack, Data: []byte(text)})
}

// answer delivers an agent's answer about the flow from a caller's port.
func (f *fixture) answer(i, port int, kind dsrpb.Kind, v dsrpb.Verdict, change func(*dsrpb.Message)) {
	m := &dsrpb.Message{
		Kind: kind, Verdict: v, Configuration: 5, Service: "route-svc",
		Source: wire.AppendAddr(nil, caller(port)), Destination: wire.AppendAddr(nil, service),
	}
	if change != nil {
		change(m)
	}
	f.b.FromAgent(f.now, agentAt(i), m)
}

func (f *fixture) accept(i, port int, sequence uint32) {
	f.answer(i, port, dsrpb.Kind_KIND_ACCEPTED, dsrpb.Verdict_VERDICT_HELD, func(m *dsrpb.Message) {
		m.HasSequence, m.Reference = true, sequence
	})
}

func (f *fixture) decline(i, port int, v dsrpb.Verdict) {
	f.answer(i, port, dsrpb.Kind_KIND_RETURNED, v, nil)
}

// takeSent returns the messages since the last call.
func (f *fixture) takeSent() []sent {
	m := f.out.messages
	f.out.messages = nil
	return m
}

// asked returns the single message since the last call.
func (f *fixture) asked() sent {
	f.Helper()
	m := f.takeSent()
	require.Len(f, m, 1)
	return m[0]
}

func TestNewFlowPrefersAFreeSlotInTheSameDataCentre(t *testing.T) {
	for _, c := range []struct {
		name                string
		near, near2, remote uint32
		want                int
		patience            dsrpb.Patience
	}{
		{"near and free", 0, 1, 0, 1, dsrpb.Patience_PATIENCE_FREE_SLOT},
		{"near and least busy", 1, 0, 0, 2, dsrpb.Patience_PATIENCE_FREE_SLOT},
		{"near ones full", 2, 2, 1, 3, dsrpb.Patience_PATIENCE_FREE_SLOT},
		{"all full: the shortest queue", 4, 3, 2, 3, dsrpb.Patience_PATIENCE_QUEUE},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.announceReady(1, "dc-1", c.near)
			f.announceReady(2, "dc-1", c.near2)
			f.announceReady(3, "dc-2", c.remote)
			f.announce(4, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
			f.announce(5, "route-svc", "dc-1", dsrpb.State_STATE_LEAVING, 0)
			f.open(1)
			m := f.asked()
			require.Equal(t, agentAt(c.want), m.to)
			require.Equal(t, c.patience, m.patience)
			require.Equal(t, "route-svc", m.service)
		})
	}
}

func TestPacketsGoToTheOwnerChosenByTheCaller(t *testing.T) {
	for chosen, ack := range map[int]uint32{1: 1001, 2: 4_000_000_001} {
		f := newFixture(t)
		f.announceReady(1, "dc-1", 0)
		f.announceReady(2, "dc-1", 0)
		f.open(1)
		first := f.asked().to
		f.pass(HedgeAfter)
		second := f.asked().to
		require.ElementsMatch(t, []netip.AddrPort{agentAt(1), agentAt(2)}, []netip.AddrPort{first, second}, "the next agent is asked when the first does not answer")
		f.accept(1, 1, 1000)
		f.accept(2, 1, 4_000_000_000)
		f.data(1, ack, "GET")
		m := f.asked()
		require.Equal(t, agentAt(chosen), m.to)
		require.True(t, m.owner)
		f.data(1, ack+3_000_000_000, "GET")
		require.Equal(t, agentAt(chosen), f.asked().to, "the sequence numbers of a long flow move away")
	}
}

// The answer of the target that the caller chose may be the one that was lost.
func TestPacketForAnUnknownOwnerIsNotSentToAnother(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-1", 0)
	f.open(1)
	f.pass(HedgeAfter)
	f.accept(1, 1, 1000)
	f.takeSent()
	f.data(1, 4_000_000_001, "GET")
	for _, m := range f.takeSent() {
		require.Equal(t, dsrpb.Kind_KIND_LOCATE, m.kind)
	}
	f.answer(1, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_HELD, func(m *dsrpb.Message) { m.HasSequence, m.Reference = true, 1000 })
	require.Empty(t, f.takeSent(), "the half-open flow of the other target is not the caller's")
	f.answer(2, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_HELD, func(m *dsrpb.Message) { m.HasSequence, m.Reference = true, 4_000_000_000 })
	require.Equal(t, agentAt(2), f.asked().to)
}

func TestPacketsAreHeldUntilTheOwnerIsKnown(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.open(1)
	f.takeSent()
	f.data(1, 1001, "one")
	f.data(1, 1001, "two")
	require.Empty(t, f.takeSent())
	f.accept(1, 1, 1000)
	m := f.takeSent()
	require.Len(t, m, 2)
	require.Equal(t, "one", m[0].packet)
	require.Equal(t, "two", m[1].packet)
}

func TestUnresponsiveAgentIsSuspectUntilItsNextMessage(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 0)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
	f.pass(HedgeAfter)
	require.Equal(t, agentAt(2), f.asked().to)
	f.open(2)
	require.Equal(t, agentAt(2), f.asked().to, "the next flow is not offered to the suspect agent")
	f.announceReady(1, "dc-1", 0)
	f.open(3)
	require.Equal(t, agentAt(1), f.asked().to)
}

// Anybody can send opening packets: the number of tracked flows is bounded, and open flows still work at the bound.
func TestTheNumberOfFlowsIsBounded(t *testing.T) {
	const most = 10
	f := newFixture(t)
	f.b.cfg.MaxFlows = most
	f.announceReady(1, "dc-1", 0)
	f.open(1)
	f.accept(1, 1, 1000)
	for port := 2; port <= 3*most; port++ {
		f.open(port)
	}
	require.Equal(t, most, f.b.Flows())
	require.Len(t, f.out.resets, 2*most)
	require.Equal(t, refusal.ReasonTooManyFlows, f.out.refusals[0].Reason)
	require.Equal(t, refusal.RunNo, f.out.refusals[0].Run)
	f.takeSent()
	f.data(5000, 1001, "of nobody")
	require.Empty(t, f.takeSent())
	f.data(1, 1001, "hello")
	require.Equal(t, "hello", f.asked().packet)
}

// During an overload answers are late; hedging every offer would add to the overload.
func TestHedgeBudgetBoundsOffers(t *testing.T) {
	const flows = 1000
	f := newFixture(t)
	for i := 1; i <= 20; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	f.takeSent()
	for port := 1; port <= flows; port++ {
		f.open(port)
	}
	for range 6 {
		f.pass(HedgeAfter)
	}
	offers := len(f.takeSent())
	require.LessOrEqual(t, offers, flows+HedgeBurst+int(HedgeRatio*1.2*flows))
	require.Greater(t, offers, flows+HedgeBurst-1, "the whole budget is used")
	f.now = f.now.Add(50 * time.Millisecond)
	before := len(f.out.messages)
	f.open(flows)
	require.Len(t, f.out.messages, before+1, "the caller's next retransmission is offered to another agent")
	for range OpeningTimeout / HedgeAfter {
		f.pass(HedgeAfter)
	}
	require.Len(t, f.out.refusals, flows, "every flow is refused in the end")
	require.Equal(t, refusal.RunUnknown, f.out.refusals[0].Run)
	require.Empty(t, f.b.hedges)
}

func TestFlowThatEveryAgentDeclinesIsRefused(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 9)
	f.open(1)
	f.takeSent()
	f.decline(1, 1, dsrpb.Verdict_VERDICT_BUSY)
	require.Len(t, f.out.resets, 1)
	require.Equal(t, refusal.ReasonAllFull, f.out.refusals[0].Reason)
	f.open(1)
	require.Len(t, f.out.resets, 2, "a retransmission is reset too")
	require.Len(t, f.out.refusals, 1, "a flow is recorded as refused once")
	f.packet(dsrtest.Packet{Source: caller(2), Destination: netip.MustParseAddrPort("198.18.0.9:1"), Flags: segment.SYN})
	require.Equal(t, refusal.ReasonUnknownAddress, f.out.refusals[1].Reason)
	f.packet(dsrtest.Packet{Source: caller(3), Destination: reports, Flags: segment.SYN})
	require.Equal(t, refusal.ReasonNoTarget, f.out.refusals[2].Reason)
	require.Equal(t, refusal.RunNo, f.out.refusals[2].Run)
}

// A flow that would be late at one target is offered to another. When it would be late there too, its caller is told.
func TestAnOverloadedServiceTellsCallersAtOnce(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 5)
	f.announceReady(2, "dc-1", 5)
	f.open(1)
	first := int(f.asked().to.Addr().As4()[3])
	f.decline(first, 1, dsrpb.Verdict_VERDICT_OVERLOADED)
	require.Empty(t, f.out.resets)
	second := int(f.asked().to.Addr().As4()[3])
	require.NotEqual(t, first, second)
	f.decline(second, 1, dsrpb.Verdict_VERDICT_OVERLOADED)
	require.Len(t, f.out.resets, 1)
	require.Equal(t, refusal.ReasonOverloaded, f.out.refusals[0].Reason)
	require.Equal(t, refusal.RunNo, f.out.refusals[0].Run)
}

// An agent that did not answer may still have opened the flow.
func TestRefusalIsNotRunOnlyWhenEveryAgentAnswered(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-1", 0)
	f.open(1)
	first := int(f.asked().to.Addr().As4()[3])
	second := 3 - first
	f.pass(HedgeAfter)
	for range 2 {
		f.decline(second, 1, dsrpb.Verdict_VERDICT_BUSY)
	}
	require.Len(t, f.out.refusals, 1)
	require.Equal(t, refusal.RunUnknown, f.out.refusals[0].Run)
	require.False(t, f.out.refusals[0].Notified)
	require.Empty(t, f.out.resets)
}

// Packets from the socket backlog of a stalled balancer look new, while their retransmissions have opened flows
// elsewhere.
func TestStalledBalancerSendsNoResets(t *testing.T) {
	for _, c := range []struct {
		name   string
		gap    time.Duration
		resets int
	}{{"running", 50 * time.Millisecond, 1}, {"after a stall", time.Second, 0}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			open := func(port int) {
				f.packet(dsrtest.Packet{Source: caller(port), Destination: netip.MustParseAddrPort("198.18.0.9:80"), Flags: segment.SYN})
			}
			f.b.MarkRunning(f.now)
			f.now = f.now.Add(c.gap)
			open(1)
			require.Len(t, f.out.resets, c.resets)
			require.Len(t, f.out.refusals, 1)
			require.Equal(t, c.resets == 1, f.out.refusals[0].Run == refusal.RunNo)
			f.b.MarkRunning(f.now)
			f.now = f.now.Add(time.Millisecond)
			open(2)
			require.Len(t, f.out.resets, 2*c.resets, "more packets may wait in the socket")
			for range StallBacklogTime / (50 * time.Millisecond) {
				f.now = f.now.Add(50 * time.Millisecond)
				f.b.MarkRunning(f.now)
			}
			open(3)
			require.Len(t, f.out.resets, 2*c.resets+1, "packets after the backlog are new")
		})
	}
}

func TestResetByTargetIsRecorded(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.open(1)
	f.accept(1, 1, 1000)
	f.answer(1, 1, dsrpb.Kind_KIND_RETURNED, dsrpb.Verdict_VERDICT_RESET, nil)
	require.Len(t, f.out.refusals, 1)
	require.Equal(t, refusal.ReasonTargetDied, f.out.refusals[0].Reason)
	require.Equal(t, refusal.RunUnknown, f.out.refusals[0].Run)
	require.Empty(t, f.out.resets, "the agent has reset it")
}

func TestLeavingAgentIsSkipped(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 0)
	f.open(1)
	f.takeSent()
	f.decline(1, 1, dsrpb.Verdict_VERDICT_LEAVING)
	require.Equal(t, agentAt(2), f.asked().to)
	f.open(2)
	require.Equal(t, agentAt(2), f.asked().to, "the leaving agent gets no further offers")
}

func TestNewFlowsAreParkedWhileTheBalancerStarts(t *testing.T) {
	f := newFixture(t)
	f.b = NewBalancer(Config{DataCentre: "dc-1"}, dsrtest.Codec{}, f.out, start)
	f.open(1)
	require.Empty(t, f.out.resets)
	f.b.SetRoutes(f.now, table(5, route(service, "route-svc")))
	require.Empty(t, f.takeSent())
	f.announceReady(1, "dc-1", 0)
	require.Equal(t, agentAt(1), f.asked().to, "the flow is offered to the first agent at once")
	f.packet(dsrtest.Packet{Source: caller(2), Destination: reports, Flags: segment.SYN})
	require.Len(t, f.out.resets, 1, "an address without a route is refused")
}

// An agent assumes that a caller is gone when it sees none of its retransmissions.
func TestParkedFlowIsOfferedWithItsLastRetransmission(t *testing.T) {
	f := newFixture(t)
	f.b.started = f.now
	f.open(1)
	f.pass(200 * time.Millisecond)
	f.packet(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.SYN, Attempt: 1, Sequence: 7})
	f.takeSent()
	f.announceReady(1, "dc-1", 0)
	require.Equal(t, 200*time.Millisecond, f.asked().age)
}

func TestParkedFlowIsRefusedAfterParkTimeout(t *testing.T) {
	f := newFixture(t)
	f.b = NewBalancer(Config{DataCentre: "dc-1"}, dsrtest.Codec{}, f.out, start)
	f.open(1)
	for range 100 {
		f.pass(parkInterval)
	}
	require.Len(t, f.out.refusals, 1)
	require.Equal(t, refusal.ReasonNoConfiguration, f.out.refusals[0].Reason)
}

func TestStaleConfigurationParksNewFlows(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.open(1)
	f.takeSent()
	f.answer(1, 1, dsrpb.Kind_KIND_RETURNED, dsrpb.Verdict_VERDICT_STALE, func(m *dsrpb.Message) { m.Configuration = 6 })
	require.Equal(t, uint64(6), f.out.outdated)
	f.pass(parkInterval)
	require.Empty(t, f.takeSent(), "the flow is parked")
	require.False(t, f.b.SetRoutes(f.now, table(4)), "an older configuration is ignored")
	f.announce(2, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.b.SetRoutes(f.now, table(6, route(service, "reports-svc")))
	require.Equal(t, agentAt(2), f.asked().to, "the flow goes to the route's new service")
	require.Empty(t, f.out.refusals)
}

func TestFlowIsRefusedWhenTheConfigurationStaysStale(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.open(1)
	f.answer(1, 1, dsrpb.Kind_KIND_RETURNED, dsrpb.Verdict_VERDICT_STALE, func(m *dsrpb.Message) { m.Configuration = 6 })
	for range 30 {
		f.pass(parkInterval)
	}
	require.Equal(t, refusal.ReasonNoConfiguration, f.out.refusals[0].Reason)
}

func TestOwnerOfAnUnknownFlowIsLocated(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= 3; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	f.data(1, 1001, "tail")
	require.Len(t, f.takeSent(), 3, "every agent is asked and none is sent the packet")
	f.answer(1, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_NOT_HELD, nil)
	f.answer(3, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_HELD, nil)
	m := f.asked()
	require.Equal(t, agentAt(3), m.to)
	require.Equal(t, "tail", m.packet)
}

func TestSearchBudgetBoundsSearchesForUnknownFlows(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	for port := range 3 * SearchBurst {
		f.data(port+1, 1001, "garbage")
	}
	require.Len(t, f.takeSent(), SearchBurst)
	require.Equal(t, SearchBurst, f.b.Flows(), "the rest is not tracked")
	f.pass(LocateTimeout)
	require.LessOrEqual(t, len(f.takeSent()), int(LocateTimeout.Seconds()*SearchMessagesPerSecond), "repeated rounds draw on the same budget")
	for range LocateRounds {
		f.pass(LocateTimeout)
	}
	f.takeSent()
	f.b.searchBudget, f.b.searchBudgetAt = 0, f.now
	f.now = f.now.Add(time.Second)
	for port := range 2 * SearchMessagesPerSecond {
		f.data(port+20000, 1001, "garbage")
	}
	require.Len(t, f.takeSent(), SearchMessagesPerSecond)
	f.announceReady(1, "dc-1", 0)
	f.open(50000)
	require.Equal(t, dsrpb.Kind_KIND_FORWARD, f.asked().kind, "new flows are still placed")
}

func TestProbesAreBounded(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= 3; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	f.pass(StartedTogetherWindow + time.Millisecond)
	for i := 1; i <= 4; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	// Agents that started together are probed in the order in which the flow is offered to them when all are equally
	// busy.
	likely := slices.MinFunc([]netip.AddrPort{agentAt(1), agentAt(2), agentAt(3)}, func(x, y netip.AddrPort) int {
		return cmp.Compare(tieBreak(keyOf(1).Hash(), x), tieBreak(keyOf(1).Hash(), y))
	})
	lose := func() {
		f.data(1, 1001, "tail")
		for i := 1; i <= 4; i++ {
			f.answer(i, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_UNKNOWN, nil)
		}
		for _, m := range f.takeSent() {
			require.Equal(t, dsrpb.Kind_KIND_LOCATE, m.kind, "an agent that has just joined may not be known yet")
		}
	}
	lose()
	f.pass(SettleTime)
	for i := 1; i <= 4; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	f.takeSent()
	for round := range 4 {
		f.data(1, 1001, "tail")
		for i := 1; i <= 4; i++ {
			f.answer(i, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_UNKNOWN, nil)
		}
		for _, m := range f.takeSent() {
			if m.kind == dsrpb.Kind_KIND_FORWARD && round == 0 {
				require.Equal(t, agentAt(4), m.to, "the agent that started last is probed first")
				f.answer(4, 1, dsrpb.Kind_KIND_RETURNED, dsrpb.Verdict_VERDICT_NOT_HELD, func(m *dsrpb.Message) {
					m.Packet = dsrtest.Encode(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.ACK, Data: []byte("tail")})
				})
			}
		}
		for _, m := range f.takeSent() {
			if m.kind == dsrpb.Kind_KIND_FORWARD {
				require.Equal(t, likely, m.to)
			}
		}
		f.pass(ProbeTimeout)
		f.pass(LocateRetryInterval)
	}
	probes := 0
	for _, d := range f.out.decisions {
		if d.Event == EventLost {
			probes++
		}
	}
	require.Equal(t, 5, probes, "each search ends")
	require.Empty(t, f.out.resets, "the flow may still be open")
}

func TestReturnedPacketGoesToTheOtherOwner(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-1", 0)
	f.open(1)
	f.pass(HedgeAfter)
	f.accept(1, 1, 1000)
	f.accept(2, 1, 9000)
	f.takeSent()
	f.answer(1, 1, dsrpb.Kind_KIND_RETURNED, dsrpb.Verdict_VERDICT_NOT_HELD, func(m *dsrpb.Message) {
		m.Packet = dsrtest.Encode(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.ACK, Acknowledgement: 9001, Data: []byte("x")})
	})
	require.Equal(t, agentAt(2), f.asked().to)
}

func TestFlowQueuedAtASilentAgentIsOfferedElsewhere(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 5)
	f.open(1)
	f.decline(1, 1, dsrpb.Verdict_VERDICT_QUEUED)
	f.pass(200 * time.Millisecond)
	f.takeSent()
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to, "a retransmission goes to the agent where the flow is queued")
	f.now = f.now.Add(700 * time.Millisecond)
	f.announceReady(2, "dc-1", 0)
	f.open(1)
	require.Equal(t, agentAt(2), f.asked().to)
}

func TestIsolatedBalancerParksNewFlows(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.now = f.now.Add(AgentSilenceTimeout + IsolatedAfter)
	f.open(1)
	require.Empty(t, f.out.resets)
	f.announceReady(1, "dc-1", 0)
	f.pass(parkInterval)
	require.Equal(t, agentAt(1), f.asked().to)
}

func BenchmarkPacketOfAKnownFlow(b *testing.B) {
	balancer := NewBalancer(Config{DataCentre: "dc-1"}, dsrtest.Codec{}, discard{}, start)
	balancer.SetRoutes(start, table(1, route(service, "route-svc")))
	opening := func(flags segment.Flags, data []byte) segment.Segment {
		s, err := dsrtest.Codec{}.Decode(dsrtest.Encode(dsrtest.Packet{Source: caller(1), Destination: service, Flags: flags, Acknowledgement: 1001, Data: data}))
		require.NoError(b, err)
		return s
	}
	balancer.FromAgent(start, agentAt(1), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", Announcement: &dsrpb.Announcement{State: dsrpb.State_STATE_READY, Slots: 2},
	})
	balancer.FromCaller(start, opening(segment.SYN, nil))
	balancer.FromAgent(start, agentAt(1), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ACCEPTED, HasSequence: true, Reference: 1000,
		Source: wire.AppendAddr(nil, caller(1)), Destination: wire.AppendAddr(nil, service),
	})
	s := opening(segment.ACK, make([]byte, 1200))
	b.ReportAllocs()
	for b.Loop() {
		balancer.FromCaller(start, s)
	}
}

// discard drops the output of a balancer.
type discard struct{}

func (discard) ToAgent(netip.AddrPort, *dsrpb.Message) {}
func (discard) Reset(flow.Key, uint32)                 {}
func (discard) Refused(Refusal)                        {}
func (discard) Decided(Decision)                       {}
func (discard) Outdated(uint64)                        {}
func (discard) SaturationChanged(overload.Status)      {}

// The acceptance brings a new report; the decision must name the one by which the target was chosen.
func TestDecisionNamesTheReportBehindTheChoice(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.pass(700 * time.Millisecond)
	f.open(1)
	f.pass(5 * time.Millisecond)
	f.accept(1, 1, 1000)
	placed := f.out.decisions[len(f.out.decisions)-1]
	require.Equal(t, EventPlaced, placed.Event)
	require.Equal(t, 700*time.Millisecond, placed.ReportAge)
}
