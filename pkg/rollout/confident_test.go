package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A version that no request reaches, since it has no target, must never get a larger share: at 100 percent nothing
// would be left that serves.
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
	require.Equal(t, VerdictObserve, got, "a service without requests tells nothing of its new version")
}

// The first request of a version without a living target fails, and then its agent is gone: no other request comes. The
// old version hardly ever fails, which must not make that one failure bad luck.
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
