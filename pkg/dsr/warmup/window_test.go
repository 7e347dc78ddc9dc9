package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestAWindowHasRoomForWhatTheRateAllows(t *testing.T) {
	var w Window
	require.Equal(t, 2, w.Room(start, 2.9))
	w.Record(start)
	w.Record(start.Add(400 * time.Millisecond))
	require.Zero(t, w.Room(start.Add(500*time.Millisecond), 2.9))
	require.Equal(t, start.Add(time.Second+time.Nanosecond), w.Next(2.9))
	require.Zero(t, w.Room(start.Add(time.Second), 2.9), "a flow of exactly a second ago counts")
	require.Equal(t, 1, w.Room(start.Add(time.Second+time.Nanosecond), 2.9))
	require.True(t, w.Next(2.9).IsZero())
}

func TestARateBelowOneStillLetsOneFlowThrough(t *testing.T) {
	var w Window
	require.Equal(t, 1, w.Room(start, 0.2))
	w.Record(start)
	require.Zero(t, w.Room(start, 0.2))
}

// Whatever the times of the flows, no second holds more than the rate.
func TestNoSecondHoldsMoreThanTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 30).Draw(t, "rate")
		var w Window
		var taken []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond)
			if w.Room(now, rate) > 0 {
				w.Record(now)
				taken = append(taken, now)
			}
		}
		for i := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(taken[i]) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), rate)
		}
	})
}
