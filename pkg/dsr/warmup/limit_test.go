package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheWaitAtAColdTarget(t *testing.T) {
	const interval = 10 * time.Millisecond
	cold := Limit{PerSecond: 10, Room: 2, Until: start.Add(2 * time.Second)}
	for _, c := range []struct {
		name  string
		limit Limit
		ahead int
		want  time.Duration
	}{
		{"warm", Limit{}, 5, 50 * time.Millisecond},
		{"no longer cold", Limit{PerSecond: 10, Until: start}, 5, 50 * time.Millisecond},
		{"room now", cold, 1, 10 * time.Millisecond},
		{"one above the room", cold, 2, 100 * time.Millisecond},
		{"the last one while cold", cold, 21, 2 * time.Second},
		{"once it is warm", cold, 32, 2*time.Second + 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.limit.Wait(start, c.ahead, interval))
		})
	}
}
