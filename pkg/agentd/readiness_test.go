package agentd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// TestReadiness guards against an agent that becomes active before its first view and resets flows with
// no-configuration.
func TestReadiness(t *testing.T) {
	now := time.Unix(1000, 0)
	var v *view.Service
	r := newReadiness(func() *view.Service { return v }, "b")
	r.now = func() time.Time { return now }
	require.False(t, r.isReady(), "no view yet")

	v = &view.Service{Targets: []view.Target{{ID: "a", State: view.StateJoining}, {ID: "b", State: view.StateJoining}}}
	require.True(t, r.isReady(), "no other target is serving")

	v = &view.Service{Targets: []view.Target{{ID: "a", State: view.StateActive}, {ID: "b", State: view.StateJoining}}}
	require.False(t, r.isReady(), "owners need time to notify the agent of their flows")
	now = now.Add(settleTime)
	require.True(t, r.isReady())
}
