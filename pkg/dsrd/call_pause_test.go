package dsrd

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallPauseReportsChangesAndGrows(t *testing.T) {
	failed := errors.New("failed")
	now := time.Unix(1000, 0)
	var p callPause
	require.True(t, p.isOver(now))
	require.Equal(t, failuresUnchanged, p.record(now, nil))
	for i, want := range []time.Duration{failurePause, 2 * failurePause, maxFailurePause, maxFailurePause} {
		change := p.record(now, failed)
		require.Equal(t, i == 0, change == failuresBegan)
		require.False(t, p.isOver(now.Add(want-1)), "failure %d", i+1)
		require.True(t, p.isOver(now.Add(want)), "failure %d", i+1)
	}
	require.Equal(t, failuresEnded, p.record(now, nil))
	require.Equal(t, failuresBegan, p.record(now, failed))
	require.True(t, p.isOver(now.Add(failurePause)), "the pause starts anew")
}
