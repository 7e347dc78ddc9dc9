package agentd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// TestReadiness: an agent that became active before its first view reset flows with no-configuration.
func TestReadiness(t *testing.T) {
	now := time.Unix(1000, 0)
	var v *view.Service
	r := newReadiness(func() *view.Service { return v }, "b")
	r.now = func() time.Time { return now }
	require.False(t, r.ready(), "no view yet")

	v = &view.Service{Targets: []view.Target{{ID: "a", State: view.StateJoining}, {ID: "b", State: view.StateJoining}}}
	require.True(t, r.ready(), "nobody serves")

	v = &view.Service{Targets: []view.Target{{ID: "a", State: view.StateActive}, {ID: "b", State: view.StateJoining}}}
	require.False(t, r.ready(), "owners have flows to announce")
	now = now.Add(settleTime)
	require.True(t, r.ready())
}
