package estimate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// learn returns the paces of targets after a number of noisy samples, one a second.
func learn(seed uint64, samples int, factors ...float64) ([]*Pace, *Paces) {
	random := rand.New(rand.NewPCG(seed, 1))
	paces, all := make([]*Pace, len(factors)), &Paces{}
	for i, factor := range factors {
		paces[i] = new(Pace)
		for n := range samples {
			noise := max(0.2, 1+0.25*random.NormFloat64())
			paces[i].Add(time.Unix(int64(n), 0), time.Duration(factor*noise*float64(30*ms)), 30*ms)
		}
		all.Add(paces[i])
	}
	return paces, all
}

func alike(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// Guards against noise that is taken for a pace: targets that are alike must be used alike.
func TestAlikeTargetsHaveNoPace(t *testing.T) {
	for _, targets := range []int{3, 5, 12, 37, 110} {
		wrong := 0
		for seed := range uint64(100) {
			for _, samples := range []int{3, 10, 40, 200} {
				if _, all := learn(seed, samples, alike(targets)...); all.Reliability() > 0 {
					wrong++
				}
			}
		}
		require.LessOrEqual(t, wrong, 8, "of 400 comparisons of %d targets", targets)
	}
}

func TestSlowerTargetsAreRecognized(t *testing.T) {
	factors := alike(36)
	for i := range 9 {
		factors[4*i] = 1.4
	}
	for seed := range uint64(20) {
		paces, all := learn(seed, 20, factors...)
		reliability := all.Reliability()
		require.Greater(t, reliability, 0.5)
		slow, other := 0.0, 0.0
		for i, p := range paces {
			if factors[i] > 1 {
				slow += all.Factor(p, reliability) / 9
			} else {
				other += all.Factor(p, reliability) / 27
			}
		}
		require.InDelta(t, 1.4, slow/other, 0.12)
	}
}

func TestPaceIsKeptWithoutRequestsAndFollowsAChange(t *testing.T) {
	var p Pace
	now := time.Unix(1000, 0)
	for range 30 {
		p.Add(now, 45*ms, 30*ms)
		now = now.Add(time.Second)
	}
	p.Add(now.Add(time.Hour), 0, 30*ms)
	require.InDelta(t, 1.5, p.mean, 0.01)
	for range 60 {
		p.Add(now, 30*ms, 30*ms)
		now = now.Add(time.Second)
	}
	require.InDelta(t, 1, p.mean, 0.05)
}

func TestQueueingDelayGrowsWithUtilization(t *testing.T) {
	require.Zero(t, QueueingDelay(0, 2, 30*ms))
	// M/M/1: the mean wait is u/(1-u) work times.
	require.InDelta(t, float64(30*ms), float64(QueueingDelay(0.5, 1, 30*ms)), float64(ms))
	// M/M/2: u²/(1-u²).
	require.InDelta(t, 0.64/0.36*float64(30*ms), float64(QueueingDelay(0.8, 2, 30*ms)), float64(2*ms))
	require.Less(t, QueueingDelay(3, 2, 30*ms), 2*time.Second)
}
