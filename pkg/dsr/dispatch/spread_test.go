package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// loaded makes agent i known, whose target has free slots and gets a number of flows a second.
func (f *fixture) loaded(i int, dataCentre string, perSecond float32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", FlowsPerSecond: perSecond,
		Announcement: &dsrpb.Announcement{DataCentre: dataCentre, State: dsrpb.State_STATE_READY, Slots: 1000, Incarnation: uint64(i)},
	})
}

// placed opens flows and counts those that are offered to each agent.
func (f *fixture) placed(n int) map[int]int {
	out := map[int]int{}
	for port := 1; port <= n; port++ {
		f.open(port)
		out[int(f.asked().to.Addr().As4()[3])]++
	}
	return out
}

// Callers of dc-1 are half of all, its targets a third: a quarter of their flows is beyond its part.
func TestFlowsBeyondADataCentresPartGoToTargetsThatGetLess(t *testing.T) {
	f := newFixture(t)
	f.loaded(1, "dc-1", 40)
	f.loaded(2, "dc-2", 20)
	f.loaded(3, "dc-3", 30)
	got := f.placed(1000)
	require.InDelta(t, 1000*correction*(0.25-unevenAt), got[2], 50)
	require.Zero(t, got[3], "it gets the mean already")
	require.Equal(t, 1000, got[1]+got[2])
}

func TestFlowsStayInTheirDataCentreWhileTheLoadIsEven(t *testing.T) {
	for name, rates := range map[string][2]float32{"even": {30, 30}, "less here": {20, 40}, "nothing is known": {0, 0}, "a little more": {30, 29}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.loaded(1, "dc-1", rates[0])
			f.loaded(2, "dc-2", rates[1])
			require.Equal(t, map[int]int{1: 200}, f.placed(200))
		})
	}
}
