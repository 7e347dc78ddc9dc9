package dispatch

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

func TestChoiceAllocatesNothing(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		for _, targets := range []int{50, 1000} {
			b, _ := newBenchmark(targets, repeated)
			f := &flowState{key: keyOf(1), service: "route-svc", tried: make([]netip.AddrPort, 0, 8)}
			choose := func() {
				f.hash = flow.Mix(f.hash + 1)
				f.tried, f.failed, f.patience = f.tried[:0], f.failed[:0], dsrpb.Patience_PATIENCE_FREE_SLOT
				_, ok := b.choose(start, f)
				require.True(t, ok)
			}
			choose()
			require.Zero(t, testing.AllocsPerRun(100, choose), "%d targets, long flows %v", targets, repeated)
		}
	}
}

// Guards against a draw from many targets that misses the free ones, or that always finds the same.
func TestFreeSlotIsFoundAmongManyTargets(t *testing.T) {
	f := newFixture(t)
	f.b, _ = newBenchmark(1000, false)
	b := f.b
	near := 0
	for _, a := range b.order {
		a.slots, a.busy = 2, 100
		if a.near {
			near++
			a.busy = 100 * (near % 10)
		}
	}
	require.Greater(t, near, maxComparedAgents)
	offers := map[netip.AddrPort]int{}
	s := &flowState{key: keyOf(1), service: "route-svc"}
	for i := range 2000 {
		s.hash = flow.Mix(uint64(i))
		s.tried, s.failed, s.patience = nil, nil, dsrpb.Patience_PATIENCE_FREE_SLOT
		c, ok := b.choose(start, s)
		require.True(t, ok)
		require.Equal(t, dsrpb.Patience_PATIENCE_FREE_SLOT, c.patience)
		require.True(t, c.agent.near)
		require.Zero(t, c.agent.busy)
		offers[c.agent.addr]++
	}
	require.Len(t, offers, near/10)
	for _, n := range offers {
		require.InDelta(t, 2000/(near/10), n, 40)
	}
}
