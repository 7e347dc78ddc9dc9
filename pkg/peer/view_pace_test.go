package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestViewPace(t *testing.T) {
	cases := map[string]struct {
		took, quiet, want time.Duration
	}{
		"first change":                {want: viewBatchDelay, quiet: time.Minute},
		"change after a quiet period": {took: 3 * time.Millisecond, quiet: time.Second, want: viewBatchDelay},
		"change soon after a view":    {took: 3 * time.Millisecond, quiet: 100 * time.Millisecond, want: 200 * time.Millisecond},
		"fast build":                  {took: 100 * time.Microsecond, quiet: 0, want: viewBatchDelay},
		"paused during the build":     {took: time.Hour, quiet: 0, want: maxViewDelay},
		"clock set back":              {took: -time.Hour, quiet: 0, want: viewBatchDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p viewPace
			p.record(testTime.Add(-c.took), testTime)
			require.Equal(t, c.want, p.wait(testTime.Add(c.quiet)))
		})
	}
}

// While members change continuously, building views must stay within its fraction of a core, and no view may be late.
func TestViewsWhileMembersChange(t *testing.T) {
	const took, step = 4 * time.Millisecond, 10 * time.Millisecond
	var p viewPace
	var work time.Duration
	now, longest := testTime, time.Duration(0)
	p.record(now, now)
	for end := now.Add(time.Minute); now.Before(end); {
		changed := now
		now = now.Add(p.wait(now))
		p.record(now, now.Add(took))
		now = now.Add(took)
		work += took
		longest = max(longest, now.Sub(changed))
		now = now.Add(step)
	}
	require.LessOrEqual(t, work, time.Minute/viewWorkDivisor+2*took)
	require.LessOrEqual(t, longest, maxViewDelay)
}
