package peer

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// A balancer that has just started must not report a revision as in force on "1 of 1" while others are joining.
func TestFreshNodeDoesNotTakeItselfForAllBalancers(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	n, err := NewNode(NodeConfig{
		Self:     membership.Member{ID: "balancer-001", Incarnation: 1, Region: "amman-east", DataCentre: "marka-hall"},
		Listener: listener(t),
		Adopter:  revision.NewAdopter(zerolog.Nop()),
		Now:      func() time.Time { return now },
	})
	require.NoError(t, err)
	join := func(id string) {
		m := n.Self()
		m.ID, m.ControlAddr = id, id
		require.True(t, n.Table().Merge(m, now))
	}
	n.Confirm(1)
	require.Equal(t, resource.InForce{Adopted: 1, Known: 1, AtLeast: true}, n.InForce(1))
	require.False(t, n.InForce(1).Complete())

	now = start.Add(settleTime - 1)
	join("balancer-002")
	now = start.Add(settleTime)
	require.Equal(t, resource.InForce{Adopted: 1, Known: 2, AtLeast: true}, n.InForce(1), "others may still be joining")
	now = now.Add(settleTime)
	require.Equal(t, resource.InForce{Adopted: 1, Known: 2}, n.InForce(1))

	now = start.Add(maxSettleTime)
	join("balancer-003")
	require.Equal(t, resource.InForce{Adopted: 1, Known: 3}, n.InForce(1), "joins do not delay the statuses of an older node")
}
