package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A version that no request reaches, since it has no target, must never get a larger share: at 100 percent nothing
// would be left that serves.
func TestVersionWithoutRequestsIsNeverPromoted(t *testing.T) {
	q := Question{Limits: Limits{Objective: 0.999, MaxBurnRatio: 1.5}, Window: time.Minute, Next: 25}
	q.Evidence.Old = Counts{Requests: 100_000, Failures: 100}
	for elapsed, want := range map[time.Duration]Verdict{
		time.Second: VerdictObserve, 5 * time.Minute: VerdictObserve, maxWindows * time.Minute: VerdictRollBack,
	} {
		q.Evidence.Elapsed = elapsed
		got, why := ConfidentBurn{}.Judge(q)
		require.Equal(t, want, got, "%v: %s", elapsed, why)
	}
	q.Evidence.Old = Counts{}
	got, _ := ConfidentBurn{}.Judge(q)
	require.Equal(t, VerdictObserve, got, "a service without requests tells nothing of its new version")
}
