package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

func TestTargetThatFailsAllIsEjected(t *testing.T) {
	var d Detector
	for range Failures - 1 {
		require.False(t, d.RecordFailure(now))
	}
	require.Equal(t, Healthy, d.State(now))
	require.True(t, d.RecordFailure(now))
	require.Equal(t, Ejected, d.State(now))
	require.False(t, d.RecordFailure(now), "requests in flight do not extend the ejection")
	require.Equal(t, now.Add(BaseEjection), d.EjectedUntil(now))
}

func TestTargetRecoversAfterProbes(t *testing.T) {
	var d Detector
	for range Failures {
		d.RecordFailure(now)
	}
	at := now.Add(BaseEjection)
	require.Equal(t, Probing, d.State(at))
	require.False(t, d.RecordSuccess(at))
	require.False(t, d.RecordSuccess(at))
	require.True(t, d.RecordSuccess(at))
	require.Equal(t, Healthy, d.State(at))
	require.Zero(t, d.FailureCount())
}

func TestFailedProbeDoublesTheEjection(t *testing.T) {
	var d Detector
	for range Failures {
		d.RecordFailure(now)
	}
	at := now
	for _, want := range []time.Duration{2, 4, 8, 8} {
		at = d.EjectedUntil(at)
		require.Equal(t, Probing, d.State(at))
		d.RecordSuccess(at)
		require.True(t, d.RecordFailure(at))
		require.Equal(t, at.Add(want*time.Second), d.EjectedUntil(at))
	}
}

// run gives the detector requests of which a share fails: 50 a second, and none during ejections. It returns the number
// of failed requests, and the fraction of the time in which the target was ejected.
func run(share float64, length time.Duration, random *rand.Rand) (failures int, ejectedShare float64) {
	var d Detector
	ejected := time.Duration(0)
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		t := now.Add(at)
		switch {
		case d.State(t) == Ejected:
			ejected += step
		case random.Float64() < share:
			failures++
			d.RecordFailure(t)
		default:
			d.RecordSuccess(t)
		}
	}
	return failures, float64(ejected) / float64(length)
}

// Ten seeds of a minute with 50 requests a second: a healthy service must hardly be affected by false positives.
func TestOnlyFailingTargetsAreEjected(t *testing.T) {
	for _, c := range []struct {
		share            float64
		lostMax          int
		outLeast, outMax float64
	}{
		{share: 1, lostMax: 20, outLeast: 0.9, outMax: 1},
		{share: 0.4, lostMax: 240, outLeast: 0.5, outMax: 1},
		{share: 0.05, lostMax: 220, outMax: 0},
		{share: 0, outMax: 0},
	} {
		for seed := range uint64(10) {
			lost, out := run(c.share, time.Minute, rand.New(rand.NewPCG(seed, 1)))
			require.LessOrEqual(t, lost, c.lostMax, "share %v seed %d", c.share, seed)
			require.GreaterOrEqual(t, out, c.outLeast, "share %v seed %d", c.share, seed)
			require.LessOrEqual(t, out, c.outMax, "share %v seed %d", c.share, seed)
		}
	}
}
