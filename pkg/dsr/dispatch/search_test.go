package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// manyAgents is the number of agents of a large deployment.
const manyAgents = 54

// located delivers agent i's answer to a search for the flow from a port.
func (f *fixture) located(i, port int, v dsrpb.Verdict) {
	f.answer(i, port, dsrpb.Kind_KIND_LOCATED, v, nil)
}

// targets returns the receivers of the messages.
func targets(list []sent) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range list {
		out = append(out, m.to)
	}
	return out
}

// After an outage only retransmissions arrive: if each of them asked every agent, the searches would sustain the
// overload.
func TestRetransmittedOpeningPacketStartsNoSearch(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= manyAgents; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	for port := 1; port <= 200; port++ {
		f.packet(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.SYN, Attempt: 2})
		m := f.asked()
		require.Equal(t, dsrpb.Kind_KIND_FORWARD, m.kind)
		require.True(t, m.opens)
		f.accept(int(m.to.Addr().As4()[3]), port, 1000)
	}
}

func TestSearchStartsWithTheAgentsOfTheRoute(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-1", 0)
	f.announce(3, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.data(1, 1001, "tail")
	require.ElementsMatch(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(f.takeSent()))
	f.located(1, 1, dsrpb.Verdict_VERDICT_NOT_HELD)
	require.Empty(t, f.takeSent())
	f.located(2, 1, dsrpb.Verdict_VERDICT_HELD)
	require.Equal(t, agentAt(2), f.asked().to)
}

func TestFlowOpenedUnderAnOlderRouteIsFound(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announce(2, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.announce(3, "billing-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.data(1, 1001, "tail")
	require.Equal(t, []netip.AddrPort{agentAt(1)}, targets(f.takeSent()))
	f.located(1, 1, dsrpb.Verdict_VERDICT_NOT_HELD)
	require.Equal(t, []netip.AddrPort{agentAt(2), agentAt(3)}, targets(f.takeSent()), "the other agents are asked when those of the route do not hold the flow")
	f.located(3, 1, dsrpb.Verdict_VERDICT_HELD)
	m := f.asked()
	require.Equal(t, agentAt(3), m.to)
	require.Equal(t, "tail", m.packet)
}

// An agent whose answer was lost is asked again when the search is widened.
func TestWidenedSearchAsksUnresponsiveAgentsAgain(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announce(2, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.data(1, 1001, "tail")
	f.takeSent()
	for range LocateRounds {
		f.pass(LocateTimeout)
	}
	asked := f.takeSent()
	require.Equal(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(asked[len(asked)-2:]))
	f.located(1, 1, dsrpb.Verdict_VERDICT_HELD)
	require.Equal(t, "tail", f.asked().packet)
}

// The budget counts messages: with many agents there are correspondingly fewer searches.
func TestSearchBudgetCountsMessages(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= manyAgents; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	for port := range SearchBurst {
		f.data(port+1, 1001, "garbage")
	}
	require.LessOrEqual(t, len(f.takeSent()), SearchBurst+manyAgents)
	for range LocateRounds + 1 {
		f.pass(LocateTimeout)
	}
	f.takeSent()
	f.b.searchBudget, f.b.searchBudgetAt = 0, f.now
	f.now = f.now.Add(time.Second)
	for port := range SearchMessagesPerSecond {
		f.data(port+20000, 1001, "garbage")
	}
	require.LessOrEqual(t, len(f.takeSent()), SearchMessagesPerSecond+manyAgents)
}

// Asking every agent of a large service would use up the search budget after a few of the flows that a balancer takes
// over.
func TestSearchAsksTheLikelyOwnersFirst(t *testing.T) {
	const agents, flows = 109, 100
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	for port := 1; port <= flows; port++ {
		// The agent to which another balancer has offered the flow.
		owner := f.b.best(f.now, &flowState{key: keyOf(port), hash: keyOf(port).Hash(), service: "route-svc"}, true)
		f.data(port, 1001, "tail")
		asked := f.takeSent()
		require.Len(t, asked, SearchInitialAgents)
		require.Contains(t, targets(asked), owner.addr)
		i := int(owner.addr.Addr().As4()[3])
		f.located(i, port, dsrpb.Verdict_VERDICT_HELD)
		require.Equal(t, owner.addr, f.asked().to)
	}
}

func TestSearchGrowsUntilAllHaveAnswered(t *testing.T) {
	const agents = 109
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	f.data(1, 1001, "tail")
	var steps []int
	for range 10 {
		asked := f.takeSent()
		if len(asked) == 0 {
			break
		}
		steps = append(steps, len(asked))
		for _, m := range asked {
			f.located(int(m.to.Addr().As4()[3]), 1, dsrpb.Verdict_VERDICT_NOT_HELD)
		}
	}
	require.Equal(t, []int{SearchInitialAgents, SearchInitialAgents * SearchGrowth, agents - SearchInitialAgents - SearchInitialAgents*SearchGrowth}, steps)
	require.Equal(t, EventLost, f.out.decisions[len(f.out.decisions)-1].Event)
}

// A dead agent among the first ones delays a search by one timeout, not by LocateRounds of them.
func TestSearchWaitsOnceForAnUnresponsiveAgent(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= 20; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	f.data(1, 1001, "tail")
	first := f.takeSent()
	for _, m := range first[1:] {
		f.located(int(m.to.Addr().As4()[3]), 1, dsrpb.Verdict_VERDICT_NOT_HELD)
	}
	require.Empty(t, f.takeSent())
	f.pass(LocateTimeout)
	require.Len(t, f.takeSent(), 1+20-SearchInitialAgents, "the unresponsive agent and all others")
}

// Agents that restart repeatedly cannot tell whether they hold a flow and come first as the most likely owners. The
// actual owner, which cannot tell either, must be probed too.
func TestProbesReachTheOwnerDespiteRestartingAgents(t *testing.T) {
	const agents, owner = 6, 6
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	probed := make(map[netip.AddrPort]bool)
	for incarnation := range 8 {
		for i := 1; i < owner; i++ {
			f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
				Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
				Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(100*incarnation + i)},
			})
		}
		f.announceReady(owner, "dc-1", 0)
		for range 20 {
			f.data(1, 1001, "tail")
			for _, m := range f.takeSent() {
				i := int(m.to.Addr().As4()[3])
				if m.kind == dsrpb.Kind_KIND_LOCATE {
					f.located(i, 1, dsrpb.Verdict_VERDICT_UNKNOWN)
					continue
				}
				probed[m.to] = true
			}
			f.pass(ProbeTimeout)
			f.pass(ProbeWindow / 20)
		}
	}
	require.Len(t, probed, agents)
}

// A balancer that leaves hands over all its open flows at once; the search budget must suffice to locate their owners.
func TestTakeoverOfManyFlowsFindsTheirOwners(t *testing.T) {
	const agents, flows = 109, 200
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.announceReady(i, "dc-1", 0)
	}
	for port := 1; port <= flows; port++ {
		owner := f.b.best(f.now, &flowState{key: keyOf(port), hash: keyOf(port).Hash(), service: "route-svc"}, true)
		f.data(port, 1001, "tail")
		f.takeSent()
		f.located(int(owner.addr.Addr().As4()[3]), port, dsrpb.Verdict_VERDICT_HELD)
	}
	found := 0
	for _, d := range f.out.decisions {
		if d.Event == EventLocated {
			found++
		}
	}
	require.Equal(t, flows, found)
}

// A caller without an answer retransmits every 1.6 s, and each packet may arrive through another balancer.
func TestUnclaimedPacketIsSearchedForTwice(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.data(1, 1001, "tail")
	f.takeSent()
	f.located(1, 1, dsrpb.Verdict_VERDICT_UNKNOWN)
	require.Empty(t, f.takeSent(), "not every agent may be known yet")
	f.pass(SettleTime)
	require.Equal(t, dsrpb.Kind_KIND_LOCATE, f.asked().kind)
	f.located(1, 1, dsrpb.Verdict_VERDICT_UNKNOWN)
	probe := f.asked()
	require.Equal(t, dsrpb.Kind_KIND_FORWARD, probe.kind)
	require.Equal(t, "tail", probe.packet)
	for range 5 {
		f.pass(SettleTime)
	}
	require.Empty(t, f.takeSent(), "once")
}

func TestDuplicateShareAsksAgentsOnce(t *testing.T) {
	f := newFixture(t)
	twice := route(service, "route-svc")
	twice.Shares = append(twice.Shares, twice.Shares...)
	f.b.SetRoutes(f.now, table(6, twice))
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-1", 0)
	f.data(1, 1001, "tail")
	require.ElementsMatch(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(f.takeSent()))
}

// probingAgent is an agent that cannot tell whether its target holds a flow until it has been probed.
type probingAgent struct {
	started time.Time
	probed  bool
}

// After all processes were killed no agent can tell whether its target holds a flow. While balancers and other agents are
// restarted again and again, each agent must get its turn, or the flow of a living target gets no answer.
func TestProbesReachTheOwnerDespiteRepeatedRestarts(t *testing.T) {
	const (
		agents = 6
		life   = 2400 * time.Millisecond
	)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		owner := random.IntN(agents)
		list := make([]probingAgent, agents)
		for i := range list {
			list[i].started = start.Add(-time.Duration(random.IntN(600)) * time.Millisecond)
		}
		for n := 0; n < agents && !list[owner].probed; n++ {
			f := newFixture(t)
			f.now = start.Add(time.Duration(n) * life)
			f.b.started = f.now
			f.probeAll(list, life)
			for i := range list {
				if i != owner && random.IntN(2) == 0 {
					list[i] = probingAgent{started: f.now}
				}
			}
		}
		require.True(t, list[owner].probed, "seed %d: the owner is agent %d", seed, owner+1)
	}
}

// probeAll runs a balancer that has just started while the caller of one flow retransmits, and records who is probed.
func (f *fixture) probeAll(list []probingAgent, d time.Duration) {
	for i, a := range list {
		f.b.FromAgent(f.now, agentAt(i+1), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
			Announcement: &dsrpb.Announcement{
				DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(a.started.UnixNano()),
				RunningMs: uint32(f.now.Sub(a.started) / time.Millisecond),
			},
		})
	}
	f.pass(SettleTime)
	f.data(1, 1001, "tail")
	for end := f.now.Add(d - SettleTime); f.now.Before(end); f.pass(10 * time.Millisecond) {
		for _, m := range f.takeSent() {
			i := int(m.to.Addr().As4()[3])
			if m.kind == dsrpb.Kind_KIND_FORWARD {
				list[i-1].probed = true
				f.returnPacket(i, 1, 1001, "tail")
				continue
			}
			verdict := dsrpb.Verdict_VERDICT_UNKNOWN
			if list[i-1].probed {
				verdict = dsrpb.Verdict_VERDICT_NOT_HELD
			}
			f.located(i, 1, verdict)
		}
	}
}

// returnPacket delivers a packet that agent i's target has returned.
func (f *fixture) returnPacket(i, port int, ack uint32, text string) {
	f.answer(i, port, dsrpb.Kind_KIND_RETURNED, dsrpb.Verdict_VERDICT_NOT_HELD, func(m *dsrpb.Message) {
		m.Packet = dsrtest.Encode(dsrtest.Packet{
			Source: caller(port), Destination: service, Flags: segment.ACK, Acknowledgement: ack, Data: []byte(text),
		})
	})
}

// A caller retransmits every 1.6 s. If each window of two probes waited for its next packet, four of six agents would
// have been probed after 4 s; balancers may not run for longer.
func TestProbesContinueWithoutAnotherPacket(t *testing.T) {
	const agents = 6
	list := make([]probingAgent, agents)
	for i := range list {
		list[i].started = start
	}
	f := newFixture(t)
	f.probeAll(list, SettleTime+SettleTime+2*ProbeWindow+200*time.Millisecond)
	for i, a := range list {
		require.True(t, a.probed, "agent %d", i+1)
	}
}
