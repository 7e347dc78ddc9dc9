package dispatch

import (
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

// located answers a search for the flow from a port.
func (f *fixture) located(i, port int, v dsrpb.Verdict) {
	f.answer(i, port, dsrpb.Kind_KIND_LOCATED, v, nil)
}

// targets returns whom the messages went to.
func targets(list []sent) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range list {
		out = append(out, m.to)
	}
	return out
}

// After an outage all that comes are copies. When each of them asked every agent, the questions filled the balancers' links
// and kept the overload going for 14 s.
func TestACopyOfAnOpeningPacketAsksNobodyForAnOwner(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= manyAgents; i++ {
		f.ready(i, "dc-1", 0)
	}
	for port := 1; port <= 200; port++ {
		f.packet(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.SYN, Attempt: 2})
		m := f.asked()
		require.Equal(t, dsrpb.Kind_KIND_FORWARD, m.kind)
		require.True(t, m.opens)
		f.accept(int(m.to.Addr().As4()[3]), port, 1000)
	}
}

func TestASearchAsksTheAgentsOfTheAddressFirst(t *testing.T) {
	f := newFixture(t)
	f.ready(1, "dc-1", 0)
	f.ready(2, "dc-1", 0)
	f.announce(3, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.data(1, 1001, "tail")
	require.ElementsMatch(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(f.take()))
	f.located(1, 1, dsrpb.Verdict_VERDICT_NOT_HELD)
	require.Empty(t, f.take())
	f.located(2, 1, dsrpb.Verdict_VERDICT_HELD)
	require.Equal(t, agentAt(2), f.asked().to)
}

func TestAFlowThatOpenedUnderAnOlderRouteIsFound(t *testing.T) {
	f := newFixture(t)
	f.ready(1, "dc-1", 0)
	f.announce(2, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.announce(3, "billing-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.data(1, 1001, "tail")
	require.Equal(t, []netip.AddrPort{agentAt(1)}, targets(f.take()))
	f.located(1, 1, dsrpb.Verdict_VERDICT_NOT_HELD)
	require.Equal(t, []netip.AddrPort{agentAt(2), agentAt(3)}, targets(f.take()), "the others are asked when those of the address have no such flow")
	f.located(3, 1, dsrpb.Verdict_VERDICT_HELD)
	m := f.asked()
	require.Equal(t, agentAt(3), m.to)
	require.Equal(t, "tail", m.packet)
}

// An agent whose answer was lost is asked again when the search goes on to the others.
func TestAWiderSearchAsksTheSilentOnesAgain(t *testing.T) {
	f := newFixture(t)
	f.ready(1, "dc-1", 0)
	f.announce(2, "reports-svc", "dc-1", dsrpb.State_STATE_READY, 0)
	f.data(1, 1001, "tail")
	f.take()
	for range LocateRounds {
		f.pass(LocateTimeout)
	}
	asked := f.take()
	require.Equal(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(asked[len(asked)-2:]))
	f.located(1, 1, dsrpb.Verdict_VERDICT_HELD)
	require.Equal(t, "tail", f.asked().packet)
}

// The limit is one of messages: with many agents there are as many fewer searches.
func TestSearchesCostABoundedNumberOfMessages(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= manyAgents; i++ {
		f.ready(i, "dc-1", 0)
	}
	for port := range SearchBurst {
		f.data(port+1, 1001, "garbage")
	}
	require.LessOrEqual(t, len(f.take()), SearchBurst+manyAgents)
	for range LocateRounds + 1 {
		f.pass(LocateTimeout)
	}
	f.take()
	f.b.searchMessages, f.b.searchedAt = 0, f.now
	f.now = f.now.Add(time.Second)
	for port := range SearchMessagesPerSecond {
		f.data(port+20000, 1001, "garbage")
	}
	require.LessOrEqual(t, len(f.take()), SearchMessagesPerSecond+manyAgents)
}

// A flow that a balancer takes over is held by one of the agents to which it was offered first. Asking all 109 agents of a service about
// each left a balancer without questions after 18 flows.
func TestASearchAsksFewAgentsWhereTheFlowIsLikely(t *testing.T) {
	const agents, flows = 109, 100
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.ready(i, "dc-1", 0)
	}
	for port := 1; port <= flows; port++ {
		// The agent to which another balancer has offered the flow.
		owner := f.b.best(f.now, &flowState{key: keyOf(port), hash: keyOf(port).Hash(), service: "route-svc"}, true)
		f.data(port, 1001, "tail")
		asked := f.take()
		require.Len(t, asked, SearchFirst)
		require.Contains(t, targets(asked), owner.addr)
		i := int(owner.addr.Addr().As4()[3])
		f.located(i, port, dsrpb.Verdict_VERDICT_HELD)
		require.Equal(t, owner.addr, f.asked().to)
	}
}

func TestASearchGoesOnInStepsUntilAllHaveAnswered(t *testing.T) {
	const agents = 109
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.ready(i, "dc-1", 0)
	}
	f.data(1, 1001, "tail")
	var steps []int
	for range 10 {
		asked := f.take()
		if len(asked) == 0 {
			break
		}
		steps = append(steps, len(asked))
		for _, m := range asked {
			f.located(int(m.to.Addr().As4()[3]), 1, dsrpb.Verdict_VERDICT_NOT_HELD)
		}
	}
	require.Equal(t, []int{SearchFirst, SearchFirst * SearchGrowth, agents - SearchFirst - SearchFirst*SearchGrowth}, steps)
	require.Equal(t, EventLost, f.out.decisions[len(f.out.decisions)-1].Event)
}

// A dead agent among the first costs one time-out, not three.
func TestASearchDoesNotWaitForASilentAgentBeforeItAsksOthers(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= 20; i++ {
		f.ready(i, "dc-1", 0)
	}
	f.data(1, 1001, "tail")
	first := f.take()
	for _, m := range first[1:] {
		f.located(int(m.to.Addr().As4()[3]), 1, dsrpb.Verdict_VERDICT_NOT_HELD)
	}
	require.Empty(t, f.take())
	f.pass(LocateTimeout)
	require.Len(t, f.take(), 1+20-SearchFirst, "the silent one and all others")
}

// Agents that start again and again can never tell whether they hold a flow, and come first as those that have seen least. The one that
// holds it, and cannot tell either, must get its turn.
func TestAgentsThatRestartAgainAndAgainDoNotHideTheOwner(t *testing.T) {
	const agents, owner = 6, 6
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.ready(i, "dc-1", 0)
	}
	handed := make(map[netip.AddrPort]bool)
	for life := range 8 {
		for i := 1; i < owner; i++ {
			f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
				Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
				Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(100*life + i)},
			})
		}
		f.ready(owner, "dc-1", 0)
		for range 20 {
			f.data(1, 1001, "tail")
			for _, m := range f.take() {
				i := int(m.to.Addr().As4()[3])
				if m.kind == dsrpb.Kind_KIND_LOCATE {
					f.located(i, 1, dsrpb.Verdict_VERDICT_UNKNOWN)
					continue
				}
				handed[m.to] = true
			}
			f.pass(ProbeTimeout)
			f.pass(ProbeWindow / 20)
		}
	}
	require.Len(t, handed, agents)
}

// A balancer that leaves hands over all its open flows at once. With 109 questions a flow the owners of 18 were found in the first second.
func TestABalancerThatTakesOverManyFlowsFindsTheirOwners(t *testing.T) {
	const agents, flows = 109, 200
	f := newFixture(t)
	for i := 1; i <= agents; i++ {
		f.ready(i, "dc-1", 0)
	}
	for port := 1; port <= flows; port++ {
		owner := f.b.best(f.now, &flowState{key: keyOf(port), hash: keyOf(port).Hash(), service: "route-svc"}, true)
		f.data(port, 1001, "tail")
		f.take()
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

// A caller that nobody answers repeats its packet every 1.6 s, and each may come by another balancer.
func TestAPacketThatNobodyClaimsIsSearchedForOnceMore(t *testing.T) {
	f := newFixture(t)
	f.ready(1, "dc-1", 0)
	f.data(1, 1001, "tail")
	f.take()
	f.located(1, 1, dsrpb.Verdict_VERDICT_UNKNOWN)
	require.Empty(t, f.take(), "other agents may not be known yet")
	f.pass(SettleTime)
	require.Equal(t, dsrpb.Kind_KIND_LOCATE, f.asked().kind)
	f.located(1, 1, dsrpb.Verdict_VERDICT_UNKNOWN)
	handed := f.asked()
	require.Equal(t, dsrpb.Kind_KIND_FORWARD, handed.kind)
	require.Equal(t, "tail", handed.packet)
	for range 5 {
		f.pass(SettleTime)
	}
	require.Empty(t, f.take(), "once")
}

func TestARouteThatNamesAServiceTwiceAsksItsAgentsOnce(t *testing.T) {
	f := newFixture(t)
	twice := route(service, "route-svc")
	twice.Shares = append(twice.Shares, twice.Shares...)
	f.b.SetRoutes(f.now, table(6, twice))
	f.ready(1, "dc-1", 0)
	f.ready(2, "dc-1", 0)
	f.data(1, 1001, "tail")
	require.ElementsMatch(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(f.take()))
}
