package balancer

import (
	"encoding/binary"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

const benchFlows = 1 << 12

func newBenchmarkHarness(b *testing.B) *harness {
	return newHarness(b, func(c *Config, d *Deps) {
		c.CachedFlows = benchFlows * 4
		d.Log = zerolog.New(io.Discard)
		d.Metrics = tally.NoopScope
		d.Now = time.Now
	})
}

func benchPackets(flags header.TCPFlags) [][]byte {
	packets := make([][]byte, benchFlows)
	for i := range packets {
		packets[i] = tcpPacket(uint16(1024+i), routeAddr, flags)
	}
	return packets
}

func (x *harness) learnAll(b testing.TB, packets [][]byte) {
	for i, p := range packets {
		m := learnedMessage(b, "route-svc", hashOf(b, p), agentAddr(1, i%7))
		x.w.handle(m, agentAddr(1, 0), time.Now())
	}
}

// BenchmarkKnownFlow routes packets of flows with a learned owner, from the received bytes to the datagram.
func BenchmarkKnownFlow(b *testing.B) {
	x := newBenchmarkHarness(b)
	x.b.SetView(testView())
	packets := benchPackets(header.TCPFlagAck)
	x.learnAll(b, packets)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		x.w.handle(packets[i%benchFlows], loopback, x.b.deps.Now())
		i++
	}
}

// BenchmarkNewFlow routes opening packets, including the log line.
func BenchmarkNewFlow(b *testing.B) {
	x := newBenchmarkHarness(b)
	x.b.SetView(testView())
	packets := benchPackets(header.TCPFlagSyn)
	b.ReportAllocs()
	i := 0
	now := start
	for b.Loop() {
		if i%benchFlows == 0 {
			now = now.Add(2 * openingRepeatWindow)
		}
		x.w.handle(packets[i%benchFlows], loopback, now)
		i++
	}
}

// BenchmarkCacheMemory reports the memory of the cache per held flow.
func BenchmarkCacheMemory(b *testing.B) {
	const flows = 1 << 19
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCache(flows, start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := 0
		for i := range uint64(flows) {
			c.learn(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, i)), agentKey{}, start, time.Minute)
		}
		for i := range c.shards {
			for _, e := range c.shards[i].entries {
				if e.used {
					held++
				}
			}
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "B/flow")
		b.ReportMetric(float64(held)/flows, "held")
	}
	require.LessOrEqual(b, unsafe.Sizeof(entry{}), uintptr(32))
}

// BenchmarkWorkers routes packets with 1 to 8 workers that share one balancer.
func BenchmarkWorkers(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("%d", n), func(b *testing.B) {
			x := newBenchmarkHarness(b)
			x.b.SetView(testView())
			packets := benchPackets(header.TCPFlagAck)
			x.learnAll(b, packets)
			done := make(chan struct{})
			b.ResetTimer()
			for g := range n {
				go func() {
					w := newWorker(x.b)
					for i := range b.N / n {
						w.handle(packets[(i+g*97)%benchFlows], loopback, x.b.deps.Now())
					}
					done <- struct{}{}
				}()
			}
			for range n {
				<-done
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}
