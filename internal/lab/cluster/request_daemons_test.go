package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/requests"
)

// TestRequestRunThroughDaemons runs the workload of the request lab, with its checker, through real daemons.
func TestRequestRunThroughDaemons(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"zarqa", "saobien"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := requests.Run(context.Background(), requests.Options{
				Deployment: name, Requests: 400, Loads: []float64{0.5}, Seed: 3, NoBaselines: true,
				ServiceTime: 100 * time.Millisecond,
				Faults:      "target-drain,target-join,store-down,claim-answer-lost,caller-retry,caller-cancel,target-shed",
				NewDaemons:  NewRequestDaemons(zerolog.Nop()),
			}, t.Output())
			require.NoError(t, err)
			require.Positive(t, r.Ran)
		})
	}
}
