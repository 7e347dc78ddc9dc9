package passthrough

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
)

// TestFlowsSurviveChangesAndDeaths guards against broken and misdelivered flows while processes join, leave and fail.
func TestFlowsSurviveChangesAndDeaths(t *testing.T) {
	faults, err := flows.ParseFaults("planned,balancer-kill,agent-kill,false-death")
	require.NoError(t, err)
	var out, log bytes.Buffer
	o := Options{Deployment: "zarqa", Balancers: 4, Flows: 200, Faults: faults, Seed: 1, Window: 6 * time.Second, Log: zerolog.New(zerolog.SyncWriter(&log)).Level(zerolog.ErrorLevel)}
	r, err := Run(t.Context(), o, &out)
	require.NoError(t, err, out.String()+log.String())
	require.Equal(t, 200, r.Flows)
	require.Greater(t, r.Finished, 190, out.String())
}

func TestOptionsAreChecked(t *testing.T) {
	_, err := Run(t.Context(), Options{Deployment: "nowhere"}, &bytes.Buffer{})
	require.ErrorContains(t, err, "nowhere")
	_, err = Run(t.Context(), Options{Deployment: "zarqa", Flows: -1}, &bytes.Buffer{})
	require.ErrorContains(t, err, "negative")
}
