package capacity

import (
	"context"
	"net/netip"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/balancer"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/view"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// smallCache is a number of cached flows so small that the cache of learned owners does not affect the measurement.
const smallCache = 1024

func openBalancer(fabric netip.AddrPort, workers, cachedFlows int) (*balancer.Balancer, error) {
	c := balancer.Config{Name: "balancer", Listen: loopback, Fabric: fabric, Workers: workers, CachedFlows: cachedFlows}
	c.DrainTime, c.QuietTime = 2*time.Millisecond, 2*time.Millisecond
	b, err := balancer.New(c, balancer.Deps{Log: zerolog.Nop()})
	return b, trace.Wrap(err)
}

// unusedAddr is the address of a fabric to which nothing is sent.
var unusedAddr = netip.MustParseAddrPort("127.0.0.1:9")

// balancerView measures the memory of the view and the rows of a balancer, and the processor time of their changes.
func balancerView() probe {
	return probe{
		name: "balancer-view", per: "service", source: "pkg/view, pkg/placement, pkg/balancer",
		sizes: []float64{170, 340, 510, 680}, repeats: 3,
		outputs: []output{
			{name: "view and rows in a balancer's memory", unit: "B"},
			{name: "first view, processor time", unit: "ms"},
			{name: "one target restarted, processor time in a balancer", unit: "ms"},
			{name: "one service changed, processor time in a balancer", unit: "ms"},
		},
		run: runBalancerView,
	}
}

func runBalancerView(_ context.Context, size float64) ([]float64, error) {
	services := int(size)
	members := newTargets(services*fleetTargets/fleetServices, services)
	revision := newRevision(1, services)
	b, err := openBalancer(unusedAddr, 1, smallCache)
	if err != nil {
		return nil, err
	}
	defer b.Kill()
	before := liveHeap()
	first := timed(func() { b.SetView(view.Build(revision, members)) })
	memory := liveHeap() - before
	members[0].Incarnation++
	restarted := timed(func() { b.SetView(view.Build(revision, members)) })
	changed := newRevision(2, services)
	changed.Services[0].Spec.Limits.Connections = 100
	configured := timed(func() { b.SetView(view.Build(changed, members)) })
	runtime.KeepAlive(members)
	return []float64{memory, first, restarted, configured}, nil
}

// timed returns the processor time that f takes, in milliseconds.
func timed(f func()) float64 {
	runtime.GC()
	begin := processorTime()
	f()
	return float64(processorTime()-begin) / float64(time.Millisecond)
}

// balancerCache measures the memory of the cache of learned owners.
func balancerCache() probe {
	return probe{
		name: "balancer-cache", per: "cached flow", source: "pkg/balancer",
		sizes: []float64{1 << 17, 1 << 18, 1 << 19}, repeats: 3,
		outputs: []output{{name: "cache of learned owners", unit: "B"}},
		run: func(_ context.Context, size float64) ([]float64, error) {
			before := liveHeap()
			b, err := openBalancer(unusedAddr, 1, int(size))
			if err != nil {
				return nil, err
			}
			defer b.Kill()
			memory := liveHeap() - before
			runtime.KeepAlive(b)
			return []float64{memory}, nil
		},
	}
}

// memberTable measures the memory of the member table and the time of failure detection and of digests.
func memberTable() probe {
	return probe{
		name: "member-table", per: "member", source: "pkg/membership",
		sizes: []float64{948, 1895, 3790}, repeats: 3,
		outputs: []output{
			{name: "member table", unit: "B"},
			{name: "judging the watched members once, after one change", unit: "us"},
			{name: "building a digest", unit: "us"},
		},
		run: runMemberTable,
	}
}

func runMemberTable(_ context.Context, size float64) ([]float64, error) {
	balancers := int(size) * fleetBalancers / fleetMembers
	members := append(newBalancers(balancers), newTargets(int(size)-balancers, fleetServices)...)
	now := time.Now()
	before := liveHeap()
	t := membership.NewTable(membership.TableConfig{})
	for _, m := range members {
		t.Merge(m, now)
	}
	memory := liveHeap() - before
	d := membership.NewDetector(membership.DetectorConfig{Self: members[0].ID}, t)
	d.Tick(now)
	const rounds = 20
	judging := timed(func() {
		for i := range rounds {
			m, _ := t.Get(members[len(members)-1].ID)
			m.Sequence += uint64(i + 1)
			t.Merge(m, now)
			d.Tick(now)
		}
	})
	digest := timed(func() {
		for range rounds {
			t.Digest()
		}
	})
	runtime.KeepAlive(members)
	return []float64{memory, judging / rounds * 1000, digest / rounds * 1000}, nil
}
