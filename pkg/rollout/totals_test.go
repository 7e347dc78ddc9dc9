package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func reading(agent string, incarnation uint64, version string, requests, failures uint64) Reading {
	return Reading{Agent: agent, Incarnation: incarnation, Version: version, Counts: Counts{Requests: requests, Failures: failures}}
}

func TestTotalsCountEachAgentOnce(t *testing.T) {
	totals, now := NewTotals(), time.Unix(100, 0)
	totals.Add([]Reading{reading("a", 1, "old", 1000, 10), reading("a", 1, "old", 900, 9), reading("b", 1, "new", 5, 0)}, now)
	require.Zero(t, totals.Of("old"), "what was counted before the first reading is left out")
	now = now.Add(time.Second)
	totals.Add([]Reading{reading("a", 1, "old", 1005, 10), reading("a", 1, "old", 1007, 11), reading("b", 1, "new", 8, 2)}, now)
	require.Equal(t, Counts{Requests: 7, Failures: 1}, totals.Of("old"))
	require.Equal(t, Counts{Requests: 3, Failures: 2}, totals.Of("new"))
	totals.Add(nil, now.Add(time.Second))
	require.Equal(t, Counts{Requests: 3, Failures: 2}, totals.Of("new"), "an agent that is gone keeps its part")
}

func TestRestartedAgentAddsWhatItCounted(t *testing.T) {
	totals, now := NewTotals(), time.Unix(100, 0)
	totals.Add([]Reading{reading("a", 1, "new", 500, 10)}, now)
	began := reading("a", 2, "new", 4, 4)
	began.ZeroAge = 2 * time.Second
	totals.Add([]Reading{reading("a", 1, "new", 510, 13), began, reading("a", 2, "new", 3, 3)}, now.Add(5*time.Second))
	require.Equal(t, Counts{Requests: 14, Failures: 7}, totals.Of("new"), "a crash between two readings counts")
}

func TestLateAgentAddsNoJump(t *testing.T) {
	for name, age := range map[string]time.Duration{"never at zero": 0, "at zero before the reading before": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			totals, now := NewTotals(), time.Unix(100, 0)
			totals.Add(nil, now)
			late := reading("a", 1, "new", 70_000, 900)
			late.ZeroAge = age
			totals.Add([]Reading{late}, now.Add(5*time.Second))
			require.Zero(t, totals.Of("new"))
			totals.Add([]Reading{reading("a", 1, "new", 70_002, 901)}, now.Add(10*time.Second))
			require.Equal(t, Counts{Requests: 2, Failures: 1}, totals.Of("new"))
		})
	}
}

// Readings may be lost, late and duplicated: the sums must never decrease, nor increase by more than was counted.
func TestTotalsAreMonotonicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals, now := NewTotals(), time.Unix(100, 0)
		truth, incarnation := make([]Counts, 3), make([]uint64, 3)
		zero := []time.Time{now, now, now}
		var sent []Reading
		var counted, before Counts
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now = now.Add(time.Second)
			for i := range truth {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					incarnation[i], truth[i], zero[i] = incarnation[i]+1, Counts{}, now
				}
				d := Counts{Requests: rapid.Uint64Range(0, 50).Draw(t, "requests")}
				d.Failures = rapid.Uint64Range(0, d.Requests).Draw(t, "failures")
				truth[i], counted = truth[i].Plus(d), counted.Plus(d)
				r := reading(string(rune('a'+i)), incarnation[i], "new", truth[i].Requests, truth[i].Failures)
				r.ZeroAge = now.Sub(zero[i]) + 1
				sent = append(sent, r)
			}
			received := rapid.SliceOfN(rapid.SampledFrom(sent), 0, 9).Draw(t, "heard")
			for i := range received {
				received[i].ZeroAge = max(received[i].ZeroAge, now.Sub(zero[received[i].Agent[0]-'a']))
			}
			totals.Add(received, now)
			sum := totals.Of("new")
			_, ok := sum.Since(before)
			require.True(t, ok, "sums fell")
			require.LessOrEqual(t, sum.Requests, counted.Requests)
			require.LessOrEqual(t, sum.Failures, sum.Requests)
			before = sum
		}
	})
}
