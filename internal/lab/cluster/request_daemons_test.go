package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/requests"
)

// TestRequestRunThroughDaemons runs the checked workload of the request lab through real daemons. It is not parallel,
// as its deadlines are in real time.
func TestRequestRunThroughDaemons(t *testing.T) {
	for _, name := range []string{"zarqa", "saobien"} {
		t.Run(name, func(t *testing.T) {
			r, err := requests.Run(context.Background(), requests.Options{
				Deployment: name, Requests: 250, Loads: []float64{0.5}, Seed: 3, NoBaselines: true,
				ServiceTime: 100 * time.Millisecond,
				Faults:      "target-drain,target-join,store-down,claim-answer-lost,caller-retry,caller-cancel,target-shed",
				NewDaemons:  NewRequestDaemons(zerolog.Nop()),
			}, t.Output())
			require.NoError(t, err)
			require.Positive(t, r.Ran)
		})
	}
}
