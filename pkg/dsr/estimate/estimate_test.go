package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestFirstSampleReplacesTheInitialValue(t *testing.T) {
	var m Mean
	require.Equal(t, 30*ms, m.ValueOr(30*ms))
	require.False(t, m.HasSample())
	m.Add(90 * ms)
	require.Equal(t, 90*ms, m.ValueOr(30*ms))
	m.Add(110 * ms)
	require.Equal(t, 100*ms, m.ValueOr(30*ms))
}

// The mean is within a tenth of a new value, three times the old one, after 40 samples.
func TestMeanFollowsAChange(t *testing.T) {
	var m Mean
	for range 100 {
		m.Add(20 * ms)
	}
	for range 40 {
		m.Add(60 * ms)
	}
	require.InDelta(t, float64(60*ms), float64(m.ValueOr(0)), float64(6*ms))
}

func TestTimeoutIsBeyondTheSampleRange(t *testing.T) {
	var a Answer
	require.Equal(t, 25*ms, a.Timeout(25*ms))
	for i := range 200 {
		a.Add(time.Duration(20+i%5) * ms)
	}
	require.Greater(t, a.Timeout(0), 24*ms)
	require.Less(t, a.Timeout(0), 32*ms)
}

func TestRateFollowsEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rate
	require.Zero(t, r.PerSecond(now))
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		r.Record(now)
		if now.Sub(time.Unix(1000, 0)) == 2*time.Second {
			require.InDelta(t, 50, r.PerSecond(now), 3, "soon after the start")
		}
	}
	require.InDelta(t, 50, r.PerSecond(now), 1)
	require.InDelta(t, 50/2.718, r.PerSecond(now.Add(rateTimeConstant)), 1)
}
