package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestATargetThatEndsYoungIsGivenLess(t *testing.T) {
	var l Learner
	require.Zero(t, l.Rate(0))
	l.Given(40)
	l.Ended(2 * time.Second)
	require.Zero(t, l.Rate(0), "once may have any reason")
	l.Given(40)
	l.Given(30)
	l.Ended(2 * time.Second)
	require.InDelta(t, 20.0, l.Rate(0), 0)
	require.InDelta(t, 20.0, l.Rate(900*time.Millisecond), 0)
	require.InDelta(t, 45.0, l.Rate(2*time.Second), 0)
	require.Zero(t, l.Rate(YoungLife), "one that has grown old has no limit")
	l.Given(12)
	l.Ended(time.Second)
	require.InDelta(t, 6.0, l.Rate(0), 0, "it ended by less")
	l.Given(50)
	l.Ended(time.Minute)
	require.Zero(t, l.Rate(0), "that was not its start")
}

// A process that ends before it got any work was not overloaded.
func TestATargetThatEndedUnusedIsNotLimited(t *testing.T) {
	var l Learner
	l.Given(1)
	l.Ended(time.Second)
	require.Zero(t, l.Rate(0))
}
