package telemetry

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

func TestReporterWritesEveryKindOfMetric(t *testing.T) {
	r := NewReporter()
	scope, closer := NewScope(r, settings.Process{Name: "b1", DataCentre: "dc"})
	scope.Counter("packets").Inc(2)
	scope.SubScope("flows").Tagged(map[string]string{"service": "a"}).Gauge("open").Update(3)
	scope.Timer("wait").Record(2 * time.Second)
	scope.Timer("wait").Record(time.Second)
	h := scope.Histogram("delay", tally.DurationBuckets{time.Millisecond, time.Second})
	h.RecordDuration(time.Millisecond)
	h.RecordDuration(500 * time.Millisecond)
	h.RecordDuration(time.Minute)
	require.NoError(t, closer.Close())
	var b bytes.Buffer
	require.NoError(t, r.WriteText(&b))
	require.Equal(t, `auburnwood_delay_bucket{dc="dc",process="b1",le="0.001"} 1
auburnwood_delay_bucket{dc="dc",process="b1",le="1"} 2
auburnwood_delay_bucket{dc="dc",process="b1",le="+Inf"} 3
auburnwood_flows_open{dc="dc",process="b1",service="a"} 3
auburnwood_packets{dc="dc",process="b1"} 2
auburnwood_wait_count{dc="dc",process="b1"} 2
auburnwood_wait_max_seconds{dc="dc",process="b1"} 2
auburnwood_wait_sum_seconds{dc="dc",process="b1"} 3
`, b.String())
}
