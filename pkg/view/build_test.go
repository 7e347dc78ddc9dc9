package view

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func agent(id, version string, state membership.State, weight uint32) membership.Member {
	return membership.Member{
		ID: id, Role: membership.RoleAgent, Incarnation: 1, Sequence: 1, State: state,
		Service: "route-svc", Version: version, Weight: weight,
	}
}

func build(members []membership.Member, shares ...resource.Share) *Service {
	spec := resource.ServiceSpec{Shares: shares}
	rev := resource.Revision{Number: 7, Services: []resource.ServiceConfig{{Name: "route-svc", Spec: spec}}}
	return Build(rev, members).Services[0]
}

func TestBuildIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []membership.Member
		for i := range rapid.IntRange(0, 30).Draw(t, "members") {
			m := agent(fmt.Sprintf("t%02d", i), rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
				membership.State(rapid.IntRange(1, 5).Draw(t, "state")), rapid.Uint32Range(0, 9).Draw(t, "weight"))
			m.Service = rapid.SampledFrom([]string{"route-svc", "reports-svc"}).Draw(t, "service")
			members = append(members, m)
		}
		share := rapid.Uint32Range(0, 5)
		configs := []resource.ServiceConfig{
			{Name: "reports-svc"},
			{Name: "route-svc", Spec: resource.ServiceSpec{Shares: []resource.Share{
				{Version: "v1", Weight: share.Draw(t, "v1")}, {Version: "v2", Weight: share.Draw(t, "v2")},
			}}},
		}
		want := Build(resource.Revision{Number: 1, Services: configs}, members)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		r.Shuffle(len(configs), func(i, j int) { configs[i], configs[j] = configs[j], configs[i] })
		require.Equal(t, want, Build(resource.Revision{Number: 1, Services: configs}, members))
	})
}

func TestBuildStates(t *testing.T) {
	unreachable := agent("e", "v1", membership.StateActive, 1)
	unreachable.Unreachable = true
	other := agent("x", "v1", membership.StateActive, 1)
	other.Service = "reports-svc"
	balancer := agent("b", "v1", membership.StateActive, 1)
	balancer.Role = membership.RoleBalancer
	s := build([]membership.Member{
		agent("d", "v1", membership.StateDraining, 1), agent("a", "v1", membership.StateActive, 1),
		agent("c", "v1", membership.StateJoining, 1), agent("f", "v1", membership.StateDead, 1),
		agent("g", "v1", membership.StateLeft, 1), unreachable, other, balancer,
	})
	states := make(map[string]TargetState)
	for _, target := range s.Targets {
		states[target.ID] = target.State
	}
	require.Equal(t, map[string]TargetState{"a": StateActive, "c": StateJoining, "d": StateDraining, "e": StateActive}, states)
	require.Equal(t, uint64(7), s.Revision)
}

func TestBuildWeights(t *testing.T) {
	active := membership.StateActive
	cases := map[string]struct {
		members []membership.Member
		shares  []resource.Share
		want    []float64
	}{
		"capacity without shares": {
			[]membership.Member{agent("a", "v1", active, 1), agent("b", "v2", active, 3)}, nil, []float64{0.25, 0.75},
		},
		"shares don't depend on the number of targets": {
			[]membership.Member{agent("a", "v1", active, 1), agent("b", "v1", active, 1), agent("c", "v2", active, 5)},
			[]resource.Share{{Version: "v1", Weight: 90}, {Version: "v2", Weight: 10}}, []float64{0.45, 0.45, 0.1},
		},
		"version without a share": {
			[]membership.Member{agent("a", "v1", active, 1), agent("b", "v3", active, 1)},
			[]resource.Share{{Version: "v1", Weight: 1}}, []float64{1, 0},
		},
		"draining takes none": {
			[]membership.Member{agent("a", "v1", active, 1), agent("b", "v1", membership.StateDraining, 1)}, nil, []float64{1, 0},
		},
		"joining doesn't lower the others": {
			[]membership.Member{agent("a", "v1", active, 1), agent("b", "v1", membership.StateJoining, 1)}, nil, []float64{1, 1},
		},
		"only joining": {
			[]membership.Member{agent("a", "v1", membership.StateJoining, 1), agent("b", "v1", membership.StateJoining, 1)}, nil, []float64{0.5, 0.5},
		},
		"all shares zero": {
			[]membership.Member{agent("a", "v1", active, 1)}, []resource.Share{{Version: "v1"}}, []float64{0},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []float64
			for _, target := range build(c.members, c.shares...).Targets {
				got = append(got, float64(target.Weight)/weightScale)
			}
			require.InDeltaSlice(t, c.want, got, 1e-6)
		})
	}
}

func TestTargetsOfAnEvacuatedDataCentreTakeNothingUntilItIsRestored(t *testing.T) {
	members := []membership.Member{
		agent("t1", "v1", membership.StateActive, 1), agent("t2", "v1", membership.StateActive, 1), agent("t3", "v1", membership.StateActive, 1),
	}
	members[0].DataCentre, members[1].DataCentre, members[2].DataCentre = "marka", "zarqa", "zarqa"
	with := func(dataCentres ...string) *Service {
		spec := resource.ServiceSpec{Evacuated: dataCentres}
		return Build(resource.Revision{Number: 7, Services: []resource.ServiceConfig{{Name: "route-svc", Spec: spec}}}, members).Services[0]
	}
	s := with("marka")
	require.Equal(t, StateDraining, s.Targets[0].State)
	require.Zero(t, s.Targets[0].Weight)
	require.Equal(t, s.Targets[1].Weight, s.Targets[2].Weight)
	require.InDelta(t, weightScale, float64(s.Targets[1].Weight+s.Targets[2].Weight), 1, "the other targets take over its weight")
	require.Equal(t, membership.StateActive, members[0].State, "the members themselves are not changed")
	require.Equal(t, StateActive, with().Targets[0].State)
	for _, x := range with("marka", "zarqa").Targets {
		require.Zero(t, x.Weight)
	}
}
