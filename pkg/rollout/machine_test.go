package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// fakeGate always gives the same verdict.
type fakeGate Verdict

func (fakeGate) Name() string { return "fake" }

func (g fakeGate) Evaluate(GateInput) (Verdict, string) { return Verdict(g), "because" }

func testRollout() resource.Rollout {
	return DefaultComparison(1, 1).Rollout
}

func TestStepPromotesThroughAllSteps(t *testing.T) {
	r := testRollout()
	now := time.Unix(100, 0)
	s := resource.RolloutStatus{}
	var weights []uint32
	for s.State != resource.RolloutCompleted {
		s = Step(r, s, Evidence{}, fakeGate(VerdictPromote), now)
		weights = append(weights, s.Weight)
	}
	require.Equal(t, []uint32{5, 25, 50, 100}, weights)
	require.Equal(t, s, Step(r, s, Evidence{}, fakeGate(VerdictRollBack), now), "a completed rollout stays so")
}

func TestRollbackIsFinalAndTakesNoNewFlow(t *testing.T) {
	r := testRollout()
	s := Step(r, resource.RolloutStatus{}, Evidence{}, fakeGate(VerdictObserve), time.Unix(1, 0))
	s = Step(r, s, Evidence{}, fakeGate(VerdictRollBack), time.Unix(2, 0))
	require.Equal(t, resource.RolloutRolledBack, s.State)
	require.Equal(t, s, Step(r, s, Evidence{}, fakeGate(VerdictPromote), time.Unix(3, 0)))
	spec := resource.ServiceSpec{Rollout: &r}
	require.Equal(t, []resource.Share{{Version: "old", Weight: 100}, {Version: "new", Weight: 0}}, Shares(spec, s))
}

func TestAnotherVersionBeginsAnew(t *testing.T) {
	r := testRollout()
	s := resource.RolloutStatus{From: "older", To: "old", State: resource.RolloutCompleted, Weight: 100}
	require.EqualValues(t, 0, Shares(resource.ServiceSpec{Rollout: &r}, s)[1].Weight, "state of another rollout")
	s = Step(r, s, Evidence{}, fakeGate(VerdictObserve), time.Unix(1, 0))
	require.EqualValues(t, 5, s.Weight)
	require.Equal(t, "new", s.To)
}

func TestCountsSinceARestartAreNotUsed(t *testing.T) {
	_, ok := Counts{Requests: 5}.Since(Counts{Requests: 9})
	require.False(t, ok)
	d, ok := Counts{Requests: 9, Failures: 2}.Since(Counts{Requests: 5, Failures: 1})
	require.True(t, ok)
	require.Equal(t, Counts{Requests: 4, Failures: 1}, d)
}
