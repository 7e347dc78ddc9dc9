package refusal

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecord measures Record before and after memory is full.
func BenchmarkRecord(b *testing.B) {
	for name, limit := range map[string]int{"Room": 1 << 30, "Full": 2000} {
		b.Run(name, func(b *testing.B) {
			l := NewLog(Config{Process: "agent-1", MaxHeld: limit})
			r := sampleEntries(1)[0].record
			r.ID = ""
			b.ReportAllocs()
			for b.Loop() {
				l.Record(r)
			}
		})
	}
}

// BenchmarkHeld measures the memory of a held record and the size of a written one.
func BenchmarkHeld(b *testing.B) {
	const n = 20000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := NewLog(Config{Process: "agent-1", MaxHeld: 4 * n})
		for i := range n {
			refuse(l, i)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/held")
		start := time.Now()
		value, packed, err := encode(header{Format: batchFormat}, l.held.all())
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(packed), "ns/packed")
		b.ReportMetric(float64(len(value))/float64(packed), "B/written")
	}
}
