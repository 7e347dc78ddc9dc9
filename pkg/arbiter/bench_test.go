package arbiter

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// benchService has n active targets; the first is the arbiter under test.
func benchService(n int) *view.Service {
	s := &view.Service{Name: "s", Spec: resource.ServiceSpec{Preference: resource.PreferBalance}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
		s.Targets = append(s.Targets, view.Target{ID: "t" + strconv.Itoa(100+i), Incarnation: 1, Agent: addr, Weight: 100, State: view.StateActive, Connections: 1 << 20})
	}
	return s
}

func benchArbiter(n int) (*Arbiter, *placement.Table, time.Time) {
	s := benchService(n)
	a := New(Config{Self: s.Targets[0].Agent, Incarnation: 1})
	now := time.Unix(1000000, 0)
	a.SetService(now, s)
	return a, placement.NewTable(s), now.Add(time.Minute)
}

// firstFlows returns n flows whose first target is the arbiter under test.
func firstFlows(t *placement.Table, n int) []uint64 {
	random := rand.New(rand.NewPCG(1, 2))
	var flows []uint64
	for len(flows) < n {
		if f := random.Uint64(); t.First(f) == 0 {
			flows = append(flows, f)
		}
	}
	return flows
}

func openAll(a *Arbiter, t *placement.Table, now time.Time, flows []uint64) {
	for _, f := range flows {
		in := Input{Kind: wire.Kind_KIND_FORWARD, Flow: f, Opening: true, Row: t.AppendRow(nil, f)}
		d := a.Packet(now, in)
		if d.Action == ActionOffer {
			a.Control(now, d.To, Message{Kind: wire.Kind_KIND_PLACED, Flow: f, Owner: d.To, Incarnation: 1})
		}
	}
}

func BenchmarkKnownFlow(b *testing.B) {
	a, t, now := benchArbiter(7)
	flows := firstFlows(t, 1<<16)
	openAll(a, t, now, flows)
	row := t.AppendRow(nil, flows[0])
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		a.Packet(now, Input{Kind: wire.Kind_KIND_FORWARD, Flow: flows[i&(1<<16-1)], Row: row})
		i++
	}
}

func BenchmarkNewFlow(b *testing.B) {
	a, t, now := benchArbiter(7)
	random := rand.New(rand.NewPCG(1, 2))
	row := t.AppendRow(nil, firstFlows(t, 1)[0])
	b.ReportAllocs()
	for b.Loop() {
		f := random.Uint64() &^ 4095 // the slot of the row
		f |= firstSlot(t)
		d := a.Packet(now, Input{Kind: wire.Kind_KIND_FORWARD, Flow: f, Opening: true, Row: row})
		if d.Action == ActionDeliver {
			a.Ended(now, f)
			continue
		}
		a.Control(now, d.To, Message{Kind: wire.Kind_KIND_PLACED, Flow: f, Owner: d.To, Incarnation: 1})
		s := a.shard(f)
		s.drop(f)
	}
}

func firstSlot(t *placement.Table) uint64 {
	for slot := uint64(0); ; slot++ {
		if t.First(slot) == 0 {
			return slot
		}
	}
}

func BenchmarkWorkers(b *testing.B) {
	a, t, now := benchArbiter(7)
	flows := firstFlows(t, 1<<16)
	openAll(a, t, now, flows)
	row := t.AppendRow(nil, flows[0])
	for _, workers := range []int{1, 2, 4, 8} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(workers))
			var start atomic.Uint64
			b.RunParallel(func(pb *testing.PB) {
				i := start.Add(7919)
				for pb.Next() {
					a.Packet(now, Input{Kind: wire.Kind_KIND_FORWARD, Flow: flows[i&(1<<16-1)], Row: row})
					i++
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
		})
	}
}

func BenchmarkBytesPerFlow(b *testing.B) {
	const n = 200000
	a, t, now := benchArbiter(7)
	flows := firstFlows(t, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	openAll(a, t, now, flows)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(a)
	}
	runtime.KeepAlive(flows)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/flow")
}
