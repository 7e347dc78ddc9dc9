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
		f.packet(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.SYN, Copy: 2})
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
	require.Equal(t, []netip.AddrPort{agentAt(1), agentAt(2)}, targets(f.take()))
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
