package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// benchAgentAt returns the address of one of more than 256 agents.
func benchAgentAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7200)
}

// newBenchmark returns a balancer with targets in four data centres, whose flows carry one or several requests.
func newBenchmark(targets int, repeated bool) (*Balancer, *recorder) {
	out := &recorder{}
	balancer := NewBalancer(Config{DataCentre: "dc-1", MaxFlows: 1 << 20}, dsrtest.Codec{}, out, start.Add(-time.Minute))
	balancer.SetRoutes(start, table(5, route(service, "route-svc")))
	for i := range targets {
		balancer.FromAgent(start, benchAgentAt(i), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", FlowsPerSecond: 30, WorkUs: 30_000,
			Announcement: &dsrpb.Announcement{
				DataCentre: fmt.Sprint("dc-", i%4), State: dsrpb.State_STATE_READY, Slots: 1 << 20, Incarnation: 1,
				Flows: uint32(30 + i%5), RepeatedRequests: repeated,
			},
		})
	}
	return balancer, out
}

// eachBenchmark runs a benchmark for several numbers of targets.
func eachBenchmark(b *testing.B, run func(b *testing.B, balancer *Balancer, out *recorder)) {
	for _, repeated := range []bool{false, true} {
		for _, targets := range []int{50, 109, 1000} {
			b.Run(fmt.Sprintf("targets=%d/long=%v", targets, repeated), func(b *testing.B) {
				balancer, out := newBenchmark(targets, repeated)
				b.ReportAllocs()
				run(b, balancer, out)
			})
		}
	}
}

// BenchmarkPlace measures the placement of a new flow at one of the targets of a service, with its packets.
func BenchmarkPlace(b *testing.B) {
	eachBenchmark(b, func(b *testing.B, balancer *Balancer, out *recorder) {
		for i := 0; b.Loop(); i++ {
			s, _ := dsrtest.Codec{}.Decode(dsrtest.Encode(dsrtest.Packet{Source: caller(i % 60000), Destination: service, Flags: segment.SYN, Sequence: uint32(i)}))
			balancer.FromCaller(start, s)
			out.messages, out.decisions = out.messages[:0], out.decisions[:0]
		}
	})
}

// BenchmarkChoose measures the choice of a target alone.
func BenchmarkChoose(b *testing.B) {
	eachBenchmark(b, func(b *testing.B, balancer *Balancer, _ *recorder) {
		f := &flowState{key: keyOf(1), service: "route-svc", tried: make([]netip.AddrPort, 0, 8)}
		for i := 0; b.Loop(); i++ {
			f.hash = flow.Mix(uint64(i))
			f.tried, f.failed, f.patience = f.tried[:0], f.failed[:0], dsrpb.Patience_PATIENCE_FREE_SLOT
			if _, ok := balancer.choose(start, f); !ok {
				b.Fatal("no target was chosen")
			}
		}
	})
}

// BenchmarkCompareTargets measures the comparison of a service's targets, which is made at most every comparisonMaxAge.
func BenchmarkCompareTargets(b *testing.B) {
	eachBenchmark(b, func(b *testing.B, balancer *Balancer, _ *recorder) {
		for b.Loop() {
			balancer.expireComparison("route-svc")
			balancer.comparisonOf(start, "route-svc")
		}
	})
}
