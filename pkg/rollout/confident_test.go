package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against promoting a version without targets: at 100 percent no target would be left to serve.
func TestVersionWithoutRequestsIsNeverPromoted(t *testing.T) {
	q := GateInput{Limits: Limits{Objective: 0.999, MaxBurnRatio: 1.5}, Window: time.Minute, Next: 25}
	q.Evidence.Old = Counts{Requests: 100_000, Failures: 100}
	for elapsed, want := range map[time.Duration]Verdict{
		time.Second: VerdictObserve, 5 * time.Minute: VerdictObserve, maxWindows * time.Minute: VerdictRollBack,
	} {
		q.Evidence.Elapsed = elapsed
		got, why := ConfidentBurn{}.Evaluate(q)
		require.Equal(t, want, got, "%v: %s", elapsed, why)
	}
	q.Evidence.Old = Counts{}
	got, _ := ConfidentBurn{}.Evaluate(q)
	require.Equal(t, VerdictObserve, got, "without requests there is no evidence about the new version")
}

// Guards against promoting a version whose only request failed and whose agent is gone, because an old version that
// hardly ever fails makes that failure look like chance.
func TestOneFailureOfOneRequestIsNeverPromoted(t *testing.T) {
	for _, objective := range []float64{0.9, 0.999} {
		q := GateInput{Limits: Limits{Objective: objective, MaxBurnRatio: 2}, Window: time.Minute, Next: 100}
		q.Evidence.Old = Counts{Requests: 1937}
		q.Evidence.New = Counts{Requests: 1, Failures: 1}
		for elapsed, want := range map[time.Duration]Verdict{time.Minute: VerdictObserve, maxWindows * time.Minute: VerdictRollBack} {
			q.Evidence.Elapsed = elapsed
			got, why := ConfidentBurn{}.Evaluate(q)
			require.Equal(t, want, got, "%v: %s", elapsed, why)
		}
	}
}
