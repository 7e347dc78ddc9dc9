package agentd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
)

func TestClaimRateIsAPartOfTheFleets(t *testing.T) {
	cases := []struct {
		limit  float64
		agents uint32
		want   float64
	}{
		{limit: 6, agents: 0, want: FleetClaims / 3300.0},
		{limit: 6, agents: 1, want: 6},
		{limit: 6, agents: 11, want: 6},
		{limit: 1000, agents: 1, want: FleetClaims},
		{limit: 1000, agents: 11, want: FleetClaims / 11.0},
		{limit: 6, agents: 3300, want: FleetClaims / 3300.0},
		{limit: 0.01, agents: 3300, want: 0.01},
		{limit: 0.01, agents: 0, want: 0.01},
		{limit: 6, agents: 1 << 31, want: FleetClaims / float64(1<<31)},
	}
	for _, c := range cases {
		got := claimRate(c.limit, c.agents)
		require.InEpsilon(t, c.want, got, 1e-9, "limit %v, agents %d", c.limit, c.agents)
		if c.agents > 0 {
			require.LessOrEqual(t, got*float64(c.agents), FleetClaims*(1+1e-9), "agents %d", c.agents)
		}
	}
}

// A server that starts late must use the last reported number of agents, and the largest fleet before one is reported.
func TestServerStartsWithItsShareOfClaims(t *testing.T) {
	d := &Daemon{}
	d.o.Settings.ObjectAPI.CallsPerSecond = 6
	r := &requests{d: d}
	v := &view.Service{Name: "route-svc"}
	require.InEpsilon(t, FleetClaims/3300.0, r.options(v).ClaimRate, 1e-9)
	require.Equal(t, ClaimBurst, r.options(v).ClaimBurst)
	r.setAgents(300)
	require.InEpsilon(t, 0.5, r.options(v).ClaimRate, 1e-9)
}
