package cluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	standin "github.com/auburnwood/auburnwood/internal/standin/target"
)

// BenchmarkSmallRequest measures a small request over an open connection: directly to the target, in stream mode and in
// request mode.
func BenchmarkSmallRequest(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		st, err := standin.Start(standin.Config{Service: "direct", ID: "d1"}, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer st.Kill()
		measure(b, &http.Client{Transport: &http.Transport{}}, "http://"+st.Addr().String()+standin.PathHealth)
	})
	b.Run("stream", func(b *testing.B) {
		l := startRequestLab(b, func(c *flows.ClusterConfig) { c.Mode = "" })
		measure(b, l.caller(http1), l.address(routeService)+standin.PathHealth)
	})
	for _, protocol := range protocols {
		b.Run("request "+protocol, func(b *testing.B) {
			l := startRequestLab(b, nil)
			measure(b, l.caller(protocol), l.address(routeService)+standin.PathHealth)
		})
	}
}

// measure reports the latencies of b.N sequential requests.
func measure(b *testing.B, c *http.Client, url string) {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for b.Loop() {
		began := time.Now()
		r, err := ask(c, http.MethodGet, url)
		if err != nil || r.status != http.StatusOK {
			b.Fatalf("status %d, %v", r.status, err)
		}
		if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
}
