package flows

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestVariantsSurviveChanges checks that UDP, IPv6 and lossy flows survive joins, drains and a killed balancer.
func TestVariantsSurviveChanges(t *testing.T) {
	tests := map[string]Options{
		"IPv6 with PROXY protocol": {IPv6: true, ProxyProtocol: true},
		"UDP":                      {UDP: true},
		"lossy UDP over IPv6":      {IPv6: true, UDP: true, Loss: 0.02, Duplicate: 0.02},
		"lossy TCP":                {Loss: 0.01, Duplicate: 0.02},
	}
	for name, o := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Deployment = "zarqa"
			o.Flows = 60
			o.Seed = 3
			o.Window = 3 * time.Second
			o.Faults = []Fault{FaultTargetJoin, FaultTargetDrain, FaultBalancerKill}
			var out bytes.Buffer
			result, err := Run(context.Background(), o, &out)
			require.NoError(t, err, out.String())
			require.Equal(t, o.Flows, result.Flows)
			require.NotZero(t, result.Bytes)
		})
	}
}
