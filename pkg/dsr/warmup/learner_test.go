package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTargetsThatFailEarlyAreLimited(t *testing.T) {
	var l Learner
	require.Zero(t, l.Rate(0))
	l.RecordFlows(40)
	l.RecordEnd(2 * time.Second)
	require.Zero(t, l.Rate(0), "a single end may have any cause")
	l.RecordFlows(40)
	l.RecordFlows(30)
	l.RecordEnd(2 * time.Second)
	require.InDelta(t, 20.0, l.Rate(0), 0)
	require.InDelta(t, 20.0, l.Rate(900*time.Millisecond), 0)
	require.InDelta(t, 45.0, l.Rate(2*time.Second), 0)
	require.Zero(t, l.Rate(EarlyFailureAge), "an older process has no limit")
	l.RecordFlows(12)
	l.RecordEnd(time.Second)
	require.InDelta(t, 6.0, l.Rate(0), 0, "it failed at less")
	l.RecordFlows(50)
	l.RecordEnd(time.Minute)
	require.Zero(t, l.Rate(0), "it did not end during its warm-up")
}

// A process that ends before it got any work was not overloaded.
func TestAnUnusedTargetThatEndsIsNotLimited(t *testing.T) {
	var l Learner
	l.RecordFlows(1)
	l.RecordEnd(time.Second)
	require.Zero(t, l.Rate(0))
}
