package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/balancer"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/revision"
	"github.com/auburnwood/auburnwood/pkg/settings"
)

// The constants behind the figures must equal the defaults of the daemons.
func TestFiguresUseTheDefaults(t *testing.T) {
	require.EqualValues(t, callRate, settings.DefaultAgent().ObjectAPI.CallsPerSecond)
	require.EqualValues(t, callRate, settings.DefaultBalancer().ObjectAPI.CallsPerSecond)
	require.EqualValues(t, fleetClaims, agentd.FleetClaims)
	require.EqualValues(t, claimBurst, agentd.ClaimBurst)
	require.EqualValues(t, 1<<19, balancer.DefaultCachedFlows)
	require.EqualValues(t, groupRate, 1/membership.DefaultGroupInterval.Seconds())
	require.EqualValues(t, readRate, revision.DefaultReadRate)
	require.EqualValues(t, statusRate, revision.DefaultStatusRate)
	require.EqualValues(t, maxHeld, refusal.DefaultMaxHeld)
	require.EqualValues(t, refusalMin, refusal.DefaultMinInterval.Seconds())
	require.EqualValues(t, refusalMax, refusal.DefaultMaxInterval.Seconds())
}
