package ownership

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// BenchmarkOpenFlows reports the memory of an open flow at its agent, in bytes.
func BenchmarkOpenFlows(b *testing.B) {
	const flows = 50000
	var before, after runtime.MemStats
	for b.Loop() {
		table := NewTable(Config{Service: "route-svc", HeartbeatInterval: time.Hour}, dsrtest.Codec{}, discard{}, start)
		_, _ = table.Announce(start, announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: flows, Sequence: 1})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for port := range flows {
			raw := dsrtest.Encode(dsrtest.Packet{Source: caller(port + 1), Destination: service, Flags: segment.SYN})
			s, err := dsrtest.Codec{}.Decode(raw)
			require.NoError(b, err)
			table.Forward(start, balancer, &dsrpb.Message{Service: "route-svc"}, s)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		require.Equal(b, flows, table.Flows())
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "bytes/flow")
	}
}
