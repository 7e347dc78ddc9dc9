package dsrd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// looks returns the times, since its start, at which a process looks for balancers in the object API.
func looks(firstStart bool, length time.Duration, alone func(time.Duration) bool) []time.Duration {
	start := time.Unix(1000, 0)
	var r rediscovery
	r.start(start, firstStart, 0)
	var out []time.Duration
	for at := time.Duration(0); at <= length; at += discoverInterval {
		if r.due(start.Add(at), alone(at), 0) {
			out = append(out, at)
		}
	}
	return out
}

func TestBalancersAreLookedForOnlyWhileNoneIsAlive(t *testing.T) {
	never := func(time.Duration) bool { return false }
	always := func(time.Duration) bool { return true }
	require.Empty(t, looks(true, time.Hour, never), "the seeds answer at a first start")
	require.Equal(t, []time.Duration{0}, looks(false, time.Hour, never), "once at a restart, which has no time to wait for seeds")
	seconds := func(list ...float64) []time.Duration {
		var out []time.Duration
		for _, s := range list {
			out = append(out, time.Duration(s*float64(time.Second)))
		}
		return out
	}
	require.Equal(t, seconds(0.5, 2.5, 6.5, 14.5, 30.5, 60.5), looks(true, 70*time.Second, always))
	lost := func(at time.Duration) bool { return at > time.Hour && at < time.Hour+3*time.Second }
	require.Equal(t, seconds(0, 3600.5, 3602.5), looks(false, 2*time.Hour, lost), "the pauses start again each time")
}

// If all processes that lose their balancers at one moment looked at once, the calls of that moment would grow with their
// number.
func TestProcessesThatLoseAllBalancersLookAtDifferentTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	lost := start.Add(time.Minute)
	first := make(map[time.Duration]int)
	const processes = 982
	for i := range processes {
		draw := float64(i) / processes
		var r rediscovery
		r.start(start, true, draw)
		require.False(t, r.due(lost, false, draw))
		for at := time.Duration(0); ; at += discoverInterval {
			if r.due(lost.Add(at), true, draw) {
				first[at]++
				break
			}
		}
	}
	for at, n := range first {
		require.LessOrEqual(t, n, processes/3, "%d look %s after the loss", n, at)
	}
}
