package telemetry

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

// BenchmarkLogLine measures a log line like that of a placement.
func BenchmarkLogLine(b *testing.B) {
	log, err := NewLogger(io.Discard, settings.DefaultLog(), settings.Process{Name: "balancer-1", DataCentre: "dc"})
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("op", "route").Str("service", "route-svc").Uint64("revision", 7).Msg("")
	}
}
