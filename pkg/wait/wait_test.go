package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFor(t *testing.T) {
	for _, c := range []struct {
		name         string
		d, ends      time.Duration
		waited       time.Duration
		endedByClock bool
	}{
		{"the duration passes first", time.Second, time.Minute, time.Second, true},
		{"the context ends first", time.Minute, time.Second, time.Second, false},
		{"zero duration", 0, time.Second, 0, true},
		{"negative duration", -time.Second, time.Second, 0, true},
		{"the context has ended", time.Minute, 0, 0, false},
		{"the context has ended and the duration is zero", 0, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.ends)
				defer cancel()
				began := time.Now()
				err := For(ctx, c.d)
				require.Equal(t, c.waited, time.Since(began))
				if c.endedByClock {
					require.NoError(t, err)
					return
				}
				require.ErrorIs(t, err, context.DeadlineExceeded)
			})
		})
	}
}
