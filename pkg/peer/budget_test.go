package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

func TestBudgetBoundsRateAndDebt(t *testing.T) {
	now := testTime
	b := newBudget(1000, func() time.Time { return now }, tally.NoopScope)
	require.Equal(t, 10_000, b.available(), "ten seconds of budget accumulate")
	b.spend(9_999)
	require.False(t, b.isOverdrawn())
	b.spend(1)
	require.True(t, b.isOverdrawn())
	now = now.Add(time.Second)
	require.Equal(t, 1000, b.available())
	for range 100 {
		b.spend(50_000)
	}
	require.GreaterOrEqual(t, b.available(), -10_000, "the debt of a burst is bounded")
	now = now.Add(11 * time.Second)
	require.False(t, b.isOverdrawn())
	now = now.Add(time.Hour)
	require.Equal(t, 10_000, b.available())
}
