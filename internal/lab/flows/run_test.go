package flows

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunSurvivesEverythingPlanned checks that flows survive every planned change, uneven views and a killed balancer.
func TestRunSurvivesEverythingPlanned(t *testing.T) {
	t.Parallel()
	faults, err := ParseFaults("planned,balancer-kill")
	require.NoError(t, err)
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{
		Deployment: "saobien",
		Flows:      120,
		Faults:     faults,
		Seed:       1,
		Window:     3 * time.Second,
		Uneven:     500 * time.Millisecond,
		Duplicate:  0.01,
	}, &out)
	require.NoError(t, err, out.String())
	require.Equal(t, 120, result.Flows)
	require.Equal(t, 1, result.Kills)
	require.NotZero(t, result.Bytes)
	require.Contains(t, out.String(), "\n"+result.Line()+"\n")
}

// TestKilledTargetBreaksOnlyItsOwnFlows also shows that a run notices broken flows.
func TestKilledTargetBreaksOnlyItsOwnFlows(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{
		Deployment: "zarqa",
		Flows:      120,
		Faults:     []Fault{FaultTargetKill},
		Seed:       2,
		Window:     3 * time.Second,
	}, &out)
	require.NoError(t, err, out.String())
	require.NotZero(t, result.Killed)
	require.Equal(t, result.Killed, result.Explained)
	require.Zero(t, result.Broken)
}

// TestFalseDeathBreaksNoFlow guards against broken flows when late heartbeats remove a live target from the views.
func TestFalseDeathBreaksNoFlow(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{
		Deployment: "saobien",
		Flows:      300,
		Faults:     []Fault{FaultFalseDeath},
		Seed:       4,
		Window:     6 * time.Second,
	}, &out)
	require.NoError(t, err, out.String())
	require.Zero(t, result.Broken)
}
