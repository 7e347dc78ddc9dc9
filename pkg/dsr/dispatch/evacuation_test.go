package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/warmup"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

func (f *fixture) evacuate(version uint64, dataCentres ...string) bool {
	return f.b.SetEvacuations(f.now, evacuation.NewSet(version, dataCentres))
}

func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 9)
	f.evacuate(10, "dc-1")
	f.open(1)
	require.Equal(t, agentAt(2), f.asked().to, "a busy target elsewhere comes before a free evacuated one")
	f.evacuate(11)
	f.open(2)
	require.Equal(t, agentAt(1), f.asked().to, "the data centre is used again once the evacuation is withdrawn")
}

func TestOlderEvacuationSetIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	require.True(t, f.evacuate(10, "dc-1"))
	require.True(t, f.evacuate(12))
	require.False(t, f.evacuate(11, "dc-1"), "an older set that arrives late")
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
}

func TestOpenFlowsStayInAnEvacuatedDataCentre(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 0)
	f.open(1)
	f.accept(1, 1, 1000)
	f.evacuate(10, "dc-1")
	f.takeSent()
	f.data(1, 1001, "GET")
	require.Equal(t, agentAt(1), f.asked().to)
}

func TestFlowDeclinedByAnEvacuatedAgentGoesElsewhere(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 9)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
	f.decline(1, 1, dsrpb.Verdict_VERDICT_EVACUATED)
	require.Equal(t, agentAt(2), f.asked().to)
	f.open(2)
	require.Equal(t, agentAt(2), f.asked().to, "the agent's state overrides the balancer's set of evacuations")
}

func TestFlowsAreRefusedWhenAllTargetsAreEvacuated(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 0)
	f.evacuate(10, "dc-1", "dc-2")
	f.open(1)
	require.Empty(t, f.takeSent())
	require.Len(t, f.out.resets, 1)
	require.Equal(t, refusal.ReasonEvacuated, f.out.refusals[0].Reason)
	require.Equal(t, refusal.RunNo, f.out.refusals[0].Run)
}

// announceRegion delivers an announcement of agent i in a region.
func (f *fixture) announceRegion(i int, region string) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
		Announcement: &dsrpb.Announcement{
			DataCentre: "dc-" + region, Region: region, State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i),
		},
	})
}

func TestFlowsStayInTheRegionsOfTheirRouteAndService(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, service []string
		want           int
	}{
		{"the route's regions bind", []string{"north"}, nil, 1},
		{"the service's regions bind", nil, []string{"south"}, 2},
		{"both bind", []string{"north", "south"}, []string{"south", "west"}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.announceRegion(1, "north")
			f.announceRegion(2, "south")
			r := route(service, "route-svc")
			r.Regions = c.route
			f.b.SetRoutes(f.now, routing.NewTable(configuration.Configuration{
				Version: 6, Routes: []configuration.Route{r},
				Services: []configuration.Service{{Name: "route-svc", Regions: c.service}},
			}))
			for port := range 20 {
				f.open(port + 1)
				require.Equal(t, agentAt(c.want), f.asked().to)
			}
		})
	}
}

func TestAFlowWithoutATargetInItsRegionsIsRefused(t *testing.T) {
	f := newFixture(t)
	f.announceRegion(1, "north")
	r := route(service, "route-svc")
	r.Regions = []string{"south"}
	f.b.SetRoutes(f.now, table(6, r))
	f.open(1)
	require.Empty(t, f.takeSent())
	require.Equal(t, refusal.ReasonRegion, f.out.refusals[0].Reason)
}

// A probe carries a caller's data: it must stay in the regions that the flow may reach.
func TestProbesStayInTheAllowedRegions(t *testing.T) {
	f := newFixture(t)
	f.announceRegion(1, "north")
	r := route(service, "route-svc")
	r.Regions = []string{"south"}
	f.b.SetRoutes(f.now, table(6, r))
	f.data(1, 1001, "GET")
	for range 40 {
		for _, m := range f.takeSent() {
			require.Equal(t, dsrpb.Kind_KIND_LOCATE, m.kind)
			f.answer(1, 1, dsrpb.Kind_KIND_LOCATED, dsrpb.Verdict_VERDICT_UNKNOWN, nil)
		}
		f.pass(50 * time.Millisecond)
	}
}

// announceCold delivers an announcement of agent i with a cold target.
func (f *fixture) announceCold(i int, dataCentre string, room uint32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", Cold: &dsrpb.Cold{PerSecond: 10, Room: room, LeftMs: 2000},
		Announcement: &dsrpb.Announcement{DataCentre: dataCentre, State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i)},
	})
}

func TestColdTargetGetsNoOfferBeyondItsRoom(t *testing.T) {
	f := newFixture(t)
	f.announceCold(1, "dc-1", 1)
	f.announceReady(2, "dc-2", 0)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
	f.open(2)
	require.Equal(t, agentAt(2), f.asked().to, "the cold target has no room left")
}

// Between two reports the room of a cold target grows at its rate, up to one second's worth of flows.
func TestRoomOfAColdTargetGrowsBetweenReports(t *testing.T) {
	a := &agent{slots: 100, coldLimit: warmup.Limit{PerSecond: 10, Room: 1, Until: start.Add(2 * time.Second)}, reported: start}
	for _, c := range []struct {
		after time.Duration
		asked int
		want  bool
	}{
		{0, 0, true},
		{0, 1, false},
		{90 * time.Millisecond, 1, false},
		{100 * time.Millisecond, 1, true},
		{1900 * time.Millisecond, 10, false},
		{2 * time.Second, 10, true},
	} {
		a.asked = c.asked
		require.Equal(t, c.want, a.hasFreeSlot(start.Add(c.after)), "%s, %d", c.after, c.asked)
	}
}

func TestFlowIsQueuedWhereItCompletesFirst(t *testing.T) {
	f := newFixture(t)
	f.announceCold(1, "dc-1", 0)
	f.announceReady(2, "dc-2", 4)
	f.open(1)
	require.Equal(t, agentAt(2), f.asked().to, "two requests ahead at the warm target take less time than 100 ms at the cold one")
}
