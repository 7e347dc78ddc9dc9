package flows

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSmallRun(t *testing.T) {
	faults, err := ParseFaults("planned,balancer-kill")
	require.NoError(t, err)
	result, err := Run(context.Background(), Options{
		Deployment: "zarqa",
		Balancers:  3,
		Flows:      120,
		Faults:     faults,
		Seed:       1,
		Window:     5 * time.Second,
		Uneven:     time.Second,
	}, os.Stdout)
	require.NoError(t, err)
	require.Equal(t, 120, result.Flows)
}
