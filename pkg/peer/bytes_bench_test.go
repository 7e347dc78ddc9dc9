package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// controlBytes returns the bytes that a process has sent and received.
func controlBytes(s tally.TestScope) float64 {
	sum := 0.0
	for name, c := range s.Snapshot().Counters() {
		if name == "control_bytes_sent+" || name == "control_bytes_received+" {
			sum += float64(c.Value())
		}
	}
	return sum
}

// benchmarkFleet measures the bytes a second of balancers and agents on real connections with the default intervals,
// while act runs.
func benchmarkFleet(b *testing.B, balancers, agents int, act func(nodes []*testNode)) {
	const window = 10 * time.Second
	scopes := make([]tally.TestScope, balancers+agents)
	for i := range scopes {
		scopes[i] = tally.NewTestScope("", nil)
	}
	nodes := startNodes(b, balancers, func(i int, c *NodeConfig) {
		c.ExchangeInterval, c.BytesPerSecond, c.Metrics = 0, 0, scopes[i]
	})
	nodes[0].adopter.Offer(routeRevision(1, "route-svc"), revision.SourceHead)
	for i := range agents {
		startSession(b, fmt.Sprintf("t%d", i), addrsOf(nodes), func(c *SessionConfig) {
			c.HeartbeatInterval, c.Metrics = 0, scopes[balancers+i]
		})
	}
	for _, n := range nodes {
		eventually(b, "all active", func() bool { return n.countActive() == balancers+agents })
	}
	time.Sleep(2 * time.Second)
	for b.Loop() {
		before := sumBytes(scopes[:balancers])
		beforeAgents := sumBytes(scopes[balancers:])
		begin := time.Now()
		if act != nil {
			act(nodes)
		}
		time.Sleep(window - time.Since(begin))
		seconds := window.Seconds()
		b.ReportMetric((sumBytes(scopes[:balancers])-before)/seconds/float64(balancers), "B/s/balancer")
		b.ReportMetric((sumBytes(scopes[balancers:])-beforeAgents)/seconds/float64(max(agents, 1)), "B/s/agent")
	}
}

func sumBytes(scopes []tally.TestScope) float64 {
	sum := 0.0
	for _, s := range scopes {
		sum += controlBytes(s)
	}
	return sum
}

func (n *testNode) countActive() int {
	count := 0
	for _, m := range n.table.Members() {
		if m.State == membership.StateActive {
			count++
		}
	}
	return count
}

// BenchmarkControlBytes measures control traffic at rest and under changes of configuration. Run it with -benchtime 1x.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []struct{ balancers, agents int }{{4, 0}, {16, 0}, {4, 28}, {4, 56}} {
		b.Run(fmt.Sprintf("rest/balancers=%d/agents=%d", size.balancers, size.agents), func(b *testing.B) {
			benchmarkFleet(b, size.balancers, size.agents, nil)
		})
	}
	b.Run("revisions/balancers=16", func(b *testing.B) {
		number := uint64(1)
		benchmarkFleet(b, 16, 0, func(nodes []*testNode) {
			for range 5 {
				number++
				nodes[0].adopter.Offer(routeRevision(number, "route-svc"), revision.SourceHead)
				for _, n := range nodes {
					eventually(b, "in force", func() bool { return n.adopter.Number() == number })
					n.Confirm(number)
				}
				time.Sleep(time.Second)
			}
		})
	})
}
