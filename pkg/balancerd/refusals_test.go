package balancerd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// A balancer that restarts before it is declared dead no longer writes the records of its earlier incarnation, which
// must still be taken over.
func TestIncarnationEndsWithDeathOrRestart(t *testing.T) {
	known := incarnations{}
	m := membership.Member{ID: "balancer-1", Incarnation: 5, State: membership.StateActive}
	require.False(t, known.hasEnded(&m), "first seen")
	m.State = membership.StateDraining
	require.False(t, known.hasEnded(&m))
	m.State, m.Incarnation = membership.StateActive, 6
	require.True(t, known.hasEnded(&m), "a later incarnation")
	require.False(t, known.hasEnded(&m))
	m.Unreachable = true
	require.True(t, known.hasEnded(&m), "its region may have failed")
	m.Unreachable = false
	require.False(t, known.hasEnded(&m))
	m.State = membership.StateDead
	require.True(t, known.hasEnded(&m))
	require.True(t, known.hasEnded(&m), "records received after the death are taken over too")
}
