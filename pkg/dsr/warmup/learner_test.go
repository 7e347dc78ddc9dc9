package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestATargetThatEndsYoungIsGivenLess(t *testing.T) {
	var l Learner
	require.Zero(t, l.Rate(0))
	l.RecordFlows(40)
	l.RecordEnd(2 * time.Second)
	require.Zero(t, l.Rate(0), "once may have any reason")
	l.RecordFlows(40)
	l.RecordFlows(30)
	l.RecordEnd(2 * time.Second)
	require.InDelta(t, 20.0, l.Rate(0), 0)
	require.InDelta(t, 20.0, l.Rate(900*time.Millisecond), 0)
	require.InDelta(t, 45.0, l.Rate(2*time.Second), 0)
	require.Zero(t, l.Rate(EarlyFailureAge), "one that has grown old has no limit")
	l.RecordFlows(12)
	l.RecordEnd(time.Second)
	require.InDelta(t, 6.0, l.Rate(0), 0, "it ended by less")
	l.RecordFlows(50)
	l.RecordEnd(time.Minute)
	require.Zero(t, l.Rate(0), "that was not its start")
}

// A process that ends before it got any work was not overloaded.
func TestATargetThatEndedUnusedIsNotLimited(t *testing.T) {
	var l Learner
	l.RecordFlows(1)
	l.RecordEnd(time.Second)
	require.Zero(t, l.Rate(0))
}
