package dsrd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One balancer lists all others for everybody, rarely: at 490 balancers a list takes three calls.
func TestOnlyTheWatchingBalancerListsAllMembers(t *testing.T) {
	start := time.Unix(1000, 0)
	watching := false
	r := memberReader{watches: func() bool { return watching }}
	reads := func(from, to time.Duration) (times []time.Duration) {
		for at := from; at < to; at += memberCheckInterval {
			if r.due(start.Add(at)) {
				times = append(times, at)
			}
		}
		return times
	}
	require.Empty(t, reads(0, time.Hour))
	watching = true
	require.Equal(t, []time.Duration{time.Hour, time.Hour + memberReadInterval}, reads(time.Hour, time.Hour+time.Minute))
	watching = false
	require.Empty(t, reads(2*time.Hour, 2*time.Hour+4*time.Second))
	watching = true
	again := 2*time.Hour + 4*time.Second
	require.Equal(t, []time.Duration{again + memberReadDelay - memberCheckInterval}, reads(again, again+10*time.Second))
}
