package balancerd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

// A balancer that is back before it was found dead must still be taken for one whose records nobody else writes.
func TestLifeEndsWithDeathOrWithTheNextLife(t *testing.T) {
	known := lives{}
	m := membership.Member{ID: "balancer-1", Incarnation: 5, State: membership.StateActive}
	require.False(t, known.ended(&m), "first seen")
	m.State = membership.StateDraining
	require.False(t, known.ended(&m))
	m.State, m.Incarnation = membership.StateActive, 6
	require.True(t, known.ended(&m), "a later life")
	require.False(t, known.ended(&m))
	m.Unreachable = true
	require.True(t, known.ended(&m), "its region may be lost")
	m.Unreachable = false
	require.False(t, known.ended(&m))
	m.State = membership.StateDead
	require.True(t, known.ended(&m))
	require.True(t, known.ended(&m), "records that come after the death count too")
}
