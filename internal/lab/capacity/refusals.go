package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// newRefusal returns a refusal record for the i-th caller.
func newRefusal(i int) refusal.Record {
	caller := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return refusal.Record{
		Service: serviceName(i % fleetServices), Reason: refusal.ReasonAllFull, Run: refusal.RunNo, Revision: 900,
		Flow: uint64(i) * 0x9e3779b97f4a7c15, Caller: netip.AddrPortFrom(caller, 40000), Destination: serviceAddress(i % fleetServices),
		Detail: fmt.Sprintf("5 targets at 4 of 4 slots, caller %d", i),
	}
}

// refusalRecords measures the cost of held and written refusal records.
func refusalRecords() probe {
	return probe{
		name: "refusal-records", per: "refusal", source: "pkg/refusal",
		sizes: []float64{5000, 10000, 20000}, repeats: 2,
		outputs: []output{
			{name: "held refusal records", unit: "B"}, {name: "written refusal records", unit: "B"}, {name: "objects of written records", unit: "objects"},
			{name: "recording, processor time", unit: "us"}, {name: "packing and writing, processor time", unit: "us"},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			sizes := &sizes{Store: store.New(store.Config{})}
			before := liveHeap()
			l := refusal.NewLog(refusal.Config{Process: "balancer-0001", Incarnation: 1, Store: sizes})
			recording := timed(func() {
				for i := range int(size) {
					l.Record(newRefusal(i))
				}
			})
			held := liveHeap() - before
			var err error
			writing := timed(func() { err = l.Drain(ctx) })
			if err == nil && l.Stats().WrittenRefusals != uint64(size) {
				err = trace.NotFound("%d refusals were written, want %g", l.Stats().WrittenRefusals, size)
			}
			return []float64{held, float64(sizes.bytes), float64(sizes.objects), recording * 1000, writing * 1000}, err
		},
	}
}

// sizes counts created objects and the bytes of their values.
type sizes struct {
	objectapi.Store
	mu             sync.Mutex
	objects, bytes int
}

// Create implements objectapi.Store.
func (s *sizes) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	s.mu.Lock()
	s.objects++
	s.bytes += len(value)
	s.mu.Unlock()
	return s.Store.Create(ctx, kind, name, value)
}

// refusalStorm measures a log that receives more records than it may hold while the store is unavailable.
func refusalStorm() probe {
	return probe{
		name: "refusal-storm", per: "refusal", source: "pkg/refusal",
		sizes: []float64{100000, 200000, 400000}, repeats: 1,
		outputs: []output{
			{name: "storm, heap of a log without a store", unit: "B"}, {name: "storm, records held", unit: "records"}, {name: "storm, processor time", unit: "us"},
		},
		run: func(_ context.Context, size float64) ([]float64, error) {
			s := store.New(store.Config{})
			s.SetFaults(store.Faults{Outage: true})
			before := liveHeap()
			l := refusal.NewLog(refusal.Config{Process: "balancer-0001", Incarnation: 1, Store: s})
			used := timed(func() {
				for i := range int(size) {
					l.Record(newRefusal(i))
				}
			})
			stats := l.Stats()
			var err error
			if stats.HeldRefusals != uint64(size) {
				err = trace.NotFound("%d refusals are held, want %g", stats.HeldRefusals, size)
			}
			memory := liveHeap() - before
			runtime.KeepAlive(l)
			return []float64{memory, float64(stats.Held), used * 1000}, err
		},
	}
}

const (
	// paceMin and paceMax replace the default bounds of a log's write interval, so that the upper bound is reached
	// sooner.
	paceMin = 500 * time.Millisecond
	paceMax = 4 * time.Second
	// paceSettle is the time until the interval is at its upper bound, and paceWindow the time over which writes are
	// counted.
	paceSettle = 8 * time.Second
	paceWindow = 12 * time.Second
)

// refusalPace measures the objects written by processes that refuse continuously, with a write interval of up to 4 s.
func refusalPace() probe {
	return probe{
		name: "refusal-pace", per: "process that refuses", source: "pkg/refusal",
		sizes: []float64{10, 20, 40}, repeats: 1, parallel: true,
		outputs: []output{{name: "objects of lasting refusals at intervals up to 4 s", unit: "writes/s"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			s := store.New(store.Config{})
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			var done sync.WaitGroup
			for i := range int(size) {
				l := refusal.NewLog(refusal.Config{
					Process: fmt.Sprint("balancer-", i), Incarnation: 1, Store: s,
					MinInterval: paceMin, MaxInterval: paceMax,
				})
				done.Go(func() { _ = l.Run(ctx) })
				done.Go(func() { refuseUntil(ctx, l) })
			}
			_ = wait.For(ctx, paceSettle)
			before := s.Applied()
			_ = wait.For(ctx, paceWindow)
			writes := float64(s.Applied()-before) / paceWindow.Seconds()
			cancel()
			done.Wait()
			return []float64{writes}, nil
		},
	}
}

// refuseUntil records a refusal every 50 ms until ctx ends.
func refuseUntil(ctx context.Context, l *refusal.Log) {
	for i := 0; ctx.Err() == nil; i++ {
		l.Record(newRefusal(i))
		_ = wait.For(ctx, 50*time.Millisecond)
	}
}
