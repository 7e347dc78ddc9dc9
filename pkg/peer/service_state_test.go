package peer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// agentState is a serviceState that records the reported views.
type agentState struct {
	*serviceState
	views   map[string]*view.Service
	reports int
}

func newAgentState() *agentState {
	a := &agentState{views: make(map[string]*view.Service)}
	a.serviceState = newServiceState(SessionConfig{
		Now:       func() time.Time { return testTime },
		OnView:    func(v *view.Service) { a.views[v.Name] = v; a.reports++ },
		OnRemoved: func(name string) { delete(a.views, name) },
	}.withDefaults())
	return a
}

func update(revision uint64, snapshot bool, members []*peerpb.Member, configs ...*peerpb.ServiceConfig) *peerpb.ServiceUpdate {
	return &peerpb.ServiceUpdate{Revision: revision, Snapshot: snapshot, Members: members, Configs: configs}
}

func serviceConfig(t *testing.T, name string, drain time.Duration) *peerpb.ServiceConfig {
	spec, err := json.Marshal(resource.ServiceSpec{Targets: "pool", DrainTime: resource.Duration(drain)})
	require.NoError(t, err)
	return &peerpb.ServiceConfig{Name: name, Spec: spec}
}

func poolMember(id string, sequence uint64, state membership.State) []*peerpb.Member {
	m := fleetMember(id, membership.RoleAgent, 1)
	m.Service, m.Sequence, m.State = "pool", sequence, state
	return []*peerpb.Member{memberToProto(&m)}
}

func (a *agentState) targets(name string) map[string]view.TargetState {
	states := make(map[string]view.TargetState)
	for _, target := range a.views[name].Targets {
		states[target.ID] = target.State
	}
	return states
}

func TestHigherRevisionOfTwoBalancersWins(t *testing.T) {
	a := newAgentState()
	require.NoError(t, a.apply("b0", update(5, true, nil, serviceConfig(t, "web", time.Minute))))
	require.NoError(t, a.apply("b1", update(4, true, nil, serviceConfig(t, "web", time.Second), serviceConfig(t, "old", 0))))
	require.Equal(t, uint64(5), a.views["web"].Revision)
	require.Equal(t, resource.Duration(time.Minute), a.views["web"].Spec.DrainTime)
	require.NotContains(t, a.views, "old")
	require.NoError(t, a.apply("b1", update(6, false, nil, &peerpb.ServiceConfig{Name: "web"}, &peerpb.ServiceConfig{Name: "old"})))
	require.Equal(t, resource.Duration(time.Second), a.views["web"].Spec.DrainTime, "the stream's own last specification")
	require.Contains(t, a.views, "old")
	require.NoError(t, a.apply("b1", update(7, false, nil, &peerpb.ServiceConfig{Name: "web"})))
	require.NotContains(t, a.views, "old", "a service that isn't listed is removed")
}

func TestMembersOfTwoBalancersMerge(t *testing.T) {
	a := newAgentState()
	config := serviceConfig(t, "web", 0)
	require.NoError(t, a.apply("b0", update(1, true, poolMember("t0", 3, membership.StateDraining), config)))
	require.NoError(t, a.apply("b1", update(1, true, poolMember("t0", 2, membership.StateActive), config)))
	require.Equal(t, map[string]view.TargetState{"t0": view.StateDraining}, a.targets("web"), "an older record doesn't replace a newer one")
	reports := a.reports
	require.NoError(t, a.apply("b1", update(1, false, poolMember("t0", 3, membership.StateDraining), &peerpb.ServiceConfig{Name: "web"})))
	require.Equal(t, reports, a.reports, "an update without changes isn't reported")
	require.NoError(t, a.apply("b1", update(1, false, poolMember("t1", 1, membership.StateActive), &peerpb.ServiceConfig{Name: "web"})))
	require.NoError(t, a.apply("b0", update(1, true, poolMember("t0", 3, membership.StateDraining), config)))
	require.Len(t, a.targets("web"), 2, "listed by one of the balancers")
	require.NoError(t, a.apply("b1", update(1, true, nil, config)))
	require.Equal(t, map[string]view.TargetState{"t0": view.StateDraining}, a.targets("web"), "listed by none")
	a.removeSource("b0")
	require.Len(t, a.targets("web"), 1, "the end of a stream removes no members")
}

func TestInvalidUpdatesAreRejected(t *testing.T) {
	cases := map[string]*peerpb.ServiceConfig{
		"no specification yet":  {Name: "web"},
		"invalid specification": {Name: "web", Spec: []byte("{")},
		"invalid shares":        {Name: "web", Spec: []byte(`{"shares":{}}`)},
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAgentState()
			require.NoError(t, a.apply("b1", update(1, true, nil, serviceConfig(t, "web", time.Minute))))
			require.Error(t, a.apply("b0", update(9, true, nil, config)))
			require.Equal(t, uint64(1), a.views["web"].Revision)
		})
	}
}

func TestSharesReachTheAgent(t *testing.T) {
	a := newAgentState()
	config := serviceConfig(t, "web", 0)
	config.Spec = []byte(`{"targets":"pool","shares":[{"version":"v2","weight":1}]}`)
	require.NoError(t, a.apply("b0", update(1, true, poolMember("t0", 1, membership.StateActive), config)))
	require.Zero(t, a.views["web"].Targets[0].Weight)
}

func TestHighestNumberOfAgentsIsReported(t *testing.T) {
	var reports []uint32
	state := newServiceState(SessionConfig{
		OnView:   func(*view.Service) {},
		OnAgents: func(agents uint32) { reports = append(reports, agents) },
	}.withDefaults())
	apply := func(addr string, snapshot bool, agents uint32) {
		u := update(1, snapshot, nil)
		u.Agents = agents
		require.NoError(t, state.apply(addr, u))
	}
	apply("b0", true, 0)
	require.Empty(t, reports, "a balancer that sends no number")
	apply("b0", true, 3000)
	apply("b1", true, 1)
	require.Equal(t, []uint32{3000}, reports, "the lower number of a balancer that has just started is ignored")
	apply("b1", false, 3300)
	apply("b1", false, 3300)
	require.Equal(t, []uint32{3000, 3300}, reports)
	state.removeSource("b1")
	apply("b0", false, 2900)
	require.Equal(t, []uint32{3000, 3300, 2900}, reports)
}
