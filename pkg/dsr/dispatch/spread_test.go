package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// announceRate delivers an announcement of agent i with free slots and a rate of new flows, per second.
func (f *fixture) announceRate(i int, dataCentre string, perSecond float32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", FlowsPerSecond: perSecond,
		Announcement: &dsrpb.Announcement{DataCentre: dataCentre, State: dsrpb.State_STATE_READY, Slots: 1000, Incarnation: uint64(i)},
	})
}

// countOffers opens n flows and returns how many were offered to each agent.
func (f *fixture) countOffers(n int) map[int]int {
	out := map[int]int{}
	for port := 1; port <= n; port++ {
		f.open(port)
		out[int(f.asked().to.Addr().As4()[3])]++
	}
	return out
}

// Half of all flows arrive in dc-1, which has a third of the targets: a quarter of its flows is excess.
func TestExcessFlowsGoToLessLoadedDataCentres(t *testing.T) {
	f := newFixture(t)
	f.announceRate(1, "dc-1", 40)
	f.announceRate(2, "dc-2", 20)
	f.announceRate(3, "dc-3", 30)
	got := f.countOffers(1000)
	require.InDelta(t, 1000*correctionGain*(0.25-imbalanceTolerance), got[2], 50)
	require.Zero(t, got[3], "its load is already the mean")
	require.Equal(t, 1000, got[1]+got[2])
}

func TestFlowsStayLocalWhileTheLoadIsEven(t *testing.T) {
	for name, rates := range map[string][2]float32{"even": {30, 30}, "less here": {20, 40}, "nothing is known": {0, 0}, "a little more": {30, 29}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.announceRate(1, "dc-1", rates[0])
			f.announceRate(2, "dc-2", rates[1])
			require.Equal(t, map[int]int{1: 200}, f.countOffers(200))
		})
	}
}
