package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// BenchmarkPlace measures the placement of a new flow at one of the targets of a service.
func BenchmarkPlace(b *testing.B) {
	for _, targets := range []int{50, 109} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			out := &recorder{}
			balancer := NewBalancer(Config{DataCentre: "dc-1", MaxFlows: 1 << 20}, dsrtest.Codec{}, out, start.Add(-time.Minute))
			balancer.SetRoutes(start, table(5, route(service, "route-svc")))
			for i := range targets {
				balancer.FromAgent(start, agentAt(i), &dsrpb.Message{
					Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", FlowsPerSecond: 30,
					Announcement: &dsrpb.Announcement{DataCentre: fmt.Sprint("dc-", i%4), State: dsrpb.State_STATE_READY, Slots: 1 << 20, Incarnation: 1},
				})
			}
			for i := 0; b.Loop(); i++ {
				s, _ := dsrtest.Codec{}.Decode(dsrtest.Encode(dsrtest.Packet{Source: caller(i % 60000), Destination: service, Flags: segment.SYN, Sequence: uint32(i)}))
				balancer.FromCaller(start, s)
				out.messages, out.decisions = out.messages[:0], out.decisions[:0]
			}
		})
	}
}
