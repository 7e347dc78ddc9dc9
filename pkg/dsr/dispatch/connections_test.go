package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// newLimitedFixture is a balancer whose service allows a target three flows.
func newLimitedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.b.SetRoutes(f.now, routing.NewTable(configuration.Configuration{
		Version:  6,
		Routes:   []configuration.Route{route(service, "route-svc")},
		Services: []configuration.Service{{Name: "route-svc", MaxConnections: 3}},
	}))
	return f
}

// announceFlows delivers an announcement of agent i, whose target holds the given number of flows.
func (f *fixture) announceFlows(i int, flows uint32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
		Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i), Flows: flows},
	})
}

func TestAFlowBeyondATargetsConnectionLimitGoesElsewhere(t *testing.T) {
	f := newLimitedFixture(t)
	f.announceFlows(1, 3)
	f.announceFlows(2, 2)
	f.open(1)
	require.Equal(t, agentAt(2), f.asked().to, "a target that is known to be at its limit is not asked")
	f.decline(2, 1, dsrpb.Verdict_VERDICT_CONNECTIONS)
	require.Len(t, f.out.refusals, 1)
	require.Equal(t, refusal.ReasonConnectionLimit, f.out.refusals[0].Reason)
	require.Equal(t, refusal.RunNo, f.out.refusals[0].Run)
}

func TestAFlowIsRefusedAtOnceWhenEveryTargetIsAtItsConnectionLimit(t *testing.T) {
	f := newLimitedFixture(t)
	f.announceFlows(1, 3)
	f.announceFlows(2, 4)
	f.open(1)
	require.Empty(t, f.out.messages)
	require.Len(t, f.out.refusals, 1)
	require.Equal(t, refusal.ReasonConnectionLimit, f.out.refusals[0].Reason)
	require.True(t, f.out.refusals[0].Notified)
}

func TestAnOldReportOfConnectionsKeepsNoTargetFromBeingAsked(t *testing.T) {
	f := newLimitedFixture(t)
	f.announceFlows(1, 3)
	f.pass(ConnectionReportMaxAge + time.Millisecond)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
}

// A large service whose targets are all at their limit must not be asked target by target for each new flow.
func TestTargetsAtTheirConnectionLimitAreNotAllAsked(t *testing.T) {
	f := newLimitedFixture(t)
	for i := 1; i <= 30; i++ {
		f.announceFlows(i, 0)
	}
	f.open(1)
	asked := 0
	for len(f.out.refusals) == 0 {
		to := f.asked().to
		asked++
		require.LessOrEqual(t, asked, MaxLimitTries)
		f.decline(int(to.Addr().As4()[3]), 1, dsrpb.Verdict_VERDICT_CONNECTIONS)
	}
	require.Equal(t, refusal.ReasonConnectionLimit, f.out.refusals[0].Reason)
}

func TestAServiceWithoutAConnectionLimitIsNotLimited(t *testing.T) {
	f := newFixture(t)
	f.announceFlows(1, 100_000)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
}

func TestATargetThatDeclinedBecauseOfItsConnectionLimitIsNotAskedByTheNextFlow(t *testing.T) {
	f := newLimitedFixture(t)
	f.announceFlows(1, 0)
	f.announceFlows(2, 0)
	f.open(1)
	first := f.asked().to
	f.decline(int(first.Addr().As4()[3]), 1, dsrpb.Verdict_VERDICT_CONNECTIONS)
	require.NotEqual(t, first, f.asked().to)
	f.open(2)
	require.NotEqual(t, first, f.asked().to)
}

func TestTargetsThatAFlowMayNotReachDoNotHideTheConnectionLimit(t *testing.T) {
	f := newFixture(t)
	f.b.SetRoutes(f.now, routing.NewTable(configuration.Configuration{
		Version:  6,
		Routes:   []configuration.Route{route(service, "route-svc")},
		Services: []configuration.Service{{Name: "route-svc", MaxConnections: 3, Regions: []string{"east"}}},
	}))
	for i, region := range []string{"east", "west"} {
		f.b.FromAgent(f.now, agentAt(i+1), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
			Announcement: &dsrpb.Announcement{DataCentre: "dc-1", Region: region, State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i + 1), Flows: uint32(3 * (1 - i))},
		})
	}
	f.open(1)
	require.Empty(t, f.out.messages)
	require.Len(t, f.out.refusals, 1)
	require.Equal(t, refusal.ReasonConnectionLimit, f.out.refusals[0].Reason)
}

func TestWithoutTheMechanismNoConnectionLimitBinds(t *testing.T) {
	f := newLimitedFixture(t)
	f.b.cfg.Without.ConnectionLimit = true
	f.announceFlows(1, 4)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
}
