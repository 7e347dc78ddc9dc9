package rollout

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	// comparisonRuns is low by default to keep the test short.
	comparisonRuns = flag.Int("runs", 60, "runs of each gate and scenario")
	comparisonSeed = flag.Uint64("seed", 2, "first seed of the runs")
)

// TestGateComparison logs the results of all gates, and fails when the default gate is no longer the best.
func TestGateComparison(t *testing.T) {
	list := DefaultComparison(*comparisonRuns, *comparisonSeed).Run()
	var b strings.Builder
	require.NoError(t, WriteTable(&b, list))
	t.Log("\n" + b.String())
	wrong := make(map[string]int)
	for _, o := range list {
		wrong[o.Gate] += o.FalsePromotions + o.FalseRollbacks + o.Undecided
	}
	best := wrong[Default().Name()]
	for _, g := range []Gate{FixedThreshold{}, RelativeBurn{}} {
		require.Less(t, 2*best, wrong[g.Name()], "half as many wrong decisions as %s", g.Name())
	}
	for _, o := range list {
		if o.Gate != Default().Name() || o.Scenario.PerMinute < 1000 {
			continue
		}
		require.LessOrEqual(t, o.FalsePromotions+o.FalseRollbacks, *comparisonRuns/10, o.Scenario.Name)
	}
}
