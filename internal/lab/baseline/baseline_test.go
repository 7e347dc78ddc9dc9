package baseline

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestChoosers(t *testing.T) {
	require.Equal(t, 2, Hash{Targets: 7}.Choose(0, 9))

	r := NewRoundRobin(3, 2)
	a := r.Choose(0, 1)
	require.Equal(t, (a+1)%3, r.Choose(0, 1))
	r.Choose(1, 1)
	require.Equal(t, (a+2)%3, r.Choose(0, 1), "balancers do not share their position")

	l := NewLeastReported(3)
	l.Report(0, 5)
	l.Report(1, 4)
	l.Report(2, 6)
	for flow := range uint64(3) {
		require.Equal(t, 1, l.Choose(0, flow))
	}
}
