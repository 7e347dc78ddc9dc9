package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// announceFlows delivers an announcement of agent i, whose target has free slots and holds long flows.
func (f *fixture) announceLongFlows(i int, dataCentre string, flows, busy uint32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", Busy: busy, WorkUs: 30_000,
		Announcement: &dsrpb.Announcement{
			DataCentre: dataCentre, State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i), Flows: flows, RepeatedRequests: true,
		},
	})
}

// openAndAccept opens a flow, lets the agent that is asked take it, and returns that agent.
func (f *fixture) openAndAccept(port int) int {
	f.open(port)
	i := int(f.asked().to.Addr().As4()[3])
	f.accept(i, port, 7)
	return i
}

// offersWithFreshReports opens n flows, each after all agents have announced themselves, and counts offers by agent.
func (f *fixture) offersWithFreshReports(n int, announce func()) map[int]int {
	out := map[int]int{}
	for port := 1; port <= n; port++ {
		announce()
		out[f.openAndAccept(port)]++
	}
	return out
}

func TestTargetWithoutFlowsIsNotFloodedWithNewOnes(t *testing.T) {
	f := newFixture(t)
	got := f.offersWithFreshReports(3000, func() {
		for i := 1; i < 12; i++ {
			f.announceLongFlows(i, "dc-1", 30, 0)
		}
		f.announceLongFlows(12, "dc-1", 0, 0)
	})
	require.Greater(t, got[12], 3000/12, "it gets more than the others")
	require.Less(t, got[12], 3000/12*3/2)
}

func TestTargetWithManyFlowsGetsFewer(t *testing.T) {
	f := newFixture(t)
	got := f.offersWithFreshReports(3000, func() {
		for i := 1; i < 12; i++ {
			f.announceLongFlows(i, "dc-1", 30, 0)
		}
		f.announceLongFlows(12, "dc-1", 60, 0)
	})
	require.Less(t, got[12], 3000/12*3/4)
	require.Greater(t, got[12], 3000/12/4)
}

// Guards against flows that a search for their owner finds only with its second, larger group of questions.
func TestLongFlowsArePlacedWhereSearchesAskFirst(t *testing.T) {
	f := newFixture(t)
	for i := range 36 {
		f.announceLongFlows(i, []string{"dc-1", "dc-2", "dc-3"}[i%3], uint32(20+i%7), 0)
	}
	const flows = 1000
	early := 0
	for port := 1; port <= flows; port++ {
		f.open(port)
		order := f.b.likelyOwners(f.b.flows[keyOf(port)])
		if slices.Index(order, f.asked().to) < SearchInitialAgents {
			early++
		}
	}
	require.Greater(t, early, flows*97/100)
}

// A data centre sends on the flows that its targets would answer late, and no others.
func TestLongFlowsLeaveTheDataCentreOnlyWhenTheyWouldBeLate(t *testing.T) {
	for name, c := range map[string]struct {
		aim        time.Duration
		busy       uint32
		wantRemote bool
	}{
		"idle":                          {aim: 200 * time.Millisecond, busy: 0},
		"half of the slots are busy":    {aim: 200 * time.Millisecond, busy: 1},
		"all slots are busy":            {aim: 200 * time.Millisecond, busy: 2, wantRemote: true},
		"busy, but a long time is left": {aim: 20 * time.Second, busy: 2},
		"busy, and nothing is promised": {aim: 0, busy: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			r := route(service, "route-svc")
			r.Aim = c.aim
			f.b.SetRoutes(f.now, table(6, r))
			got := f.offersWithFreshReports(50, func() {
				f.pass(time.Second)
				for i := range 4 {
					f.announceLongFlows(i, "dc-1", 20, c.busy)
					f.announceLongFlows(10+i, "dc-2", 20, 0)
				}
			})
			remote := got[10] + got[11] + got[12] + got[13]
			if c.wantRemote {
				require.Greater(t, remote, 40)
				return
			}
			require.Zero(t, remote)
		})
	}
}

func TestLongFlowsAvoidSuspectFailingAndTriedTargets(t *testing.T) {
	f := newFixture(t)
	for i := 1; i <= 4; i++ {
		f.announceLongFlows(i, "dc-1", 10, 0)
	}
	f.b.agents[agentAt(1)].suspect = true
	f.b.agents[agentAt(2)].failing = true
	for port := 1; port <= 50; port++ {
		f.open(port)
		first := f.asked().to
		require.Contains(t, []any{agentAt(3), agentAt(4)}, any(first))
		f.decline(int(first.Addr().As4()[3]), port, dsrpb.Verdict_VERDICT_BUSY)
		require.NotEqual(t, first, f.asked().to)
	}
}

// Guards against decisions that follow noise: where targets are alike and flows carry one request, each flow goes where
// it went without paces.
func TestAlikeTargetsAreChosenAsWithoutPaces(t *testing.T) {
	offers := func(without policy.Without) []int {
		f := newFixture(t)
		f.b = NewBalancer(Config{DataCentre: "dc-1", Without: without}, dsrtest.Codec{}, f.out, start.Add(-time.Minute))
		f.b.SetRoutes(start, table(5, []configuration.Route{route(service, "route-svc")}...))
		random := rand.New(rand.NewPCG(1, 1))
		var out []int
		for second := range 60 {
			for i := range 37 {
				f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
					Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", Busy: uint32(random.IntN(4)), FlowsPerSecond: float32(20 + random.IntN(10)),
					WorkUs: uint32(30_000 * max(0.2, 1+0.22*random.NormFloat64())),
					Announcement: &dsrpb.Announcement{
						DataCentre: []string{"dc-1", "dc-2", "dc-3"}[i%3], State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: 1, Flows: uint32(random.IntN(40)),
					},
				})
			}
			for n := range 20 {
				out = append(out, f.openAndAccept(1+20*second+n))
				f.pass(50 * time.Millisecond)
			}
		}
		return out
	}
	require.Equal(t, offers(policy.Without{TargetPace: true, FlowWeight: true}), offers(policy.Without{}))
}

// Guards against the pace of an earlier process that is applied to its successor.
func TestPaceIsKeptUntilTheTargetIsReplaced(t *testing.T) {
	f := newFixture(t)
	announce := func(i int, state dsrpb.State, workTime time.Duration) {
		f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", WorkUs: uint32(workTime / time.Microsecond),
			Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: state, Slots: 2, Incarnation: 1},
		})
	}
	factor := func(i int) float64 {
		f.b.comparisonOf(f.now, "route-svc")
		return f.b.agents[agentAt(i)].paceFactor()
	}
	for range 10 {
		f.pass(time.Second)
		for i := 1; i <= 8; i++ {
			announce(i, dsrpb.State_STATE_READY, []time.Duration{30 * time.Millisecond, 42 * time.Millisecond}[i/8])
		}
		f.b.comparisonOf(f.now, "route-svc")
	}
	require.InDelta(t, 1.33, factor(8), 0.03)
	for range 60 {
		f.pass(time.Second)
		for i := 1; i <= 8; i++ {
			announce(i, dsrpb.State_STATE_READY, 0)
		}
	}
	require.InDelta(t, 1.33, factor(8), 0.03, "it had no requests for a minute")
	announce(8, dsrpb.State_STATE_ABSENT, 0)
	announce(8, dsrpb.State_STATE_READY, 0)
	require.InDelta(t, 1, factor(8), 0)
}
