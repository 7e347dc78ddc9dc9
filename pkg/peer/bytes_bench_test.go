package peer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

// benchmarkFleet measures the bytes per second of balancers and agents on real connections with the default intervals,
// while act runs. The agents report counts, when not nil, with their heartbeats.
func benchmarkFleet(b *testing.B, balancers, agents int, counts func() (uint64, uint64), act func(nodes []*testNode)) {
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
			c.HeartbeatInterval, c.Metrics, c.Counts = 0, scopes[balancers+i], counts
		})
	}
	for _, n := range nodes {
		eventually(b, "all active", func() bool { return n.countActive() == balancers+agents })
	}
	time.Sleep(2 * time.Second)
	for b.Loop() {
		before := sumBytes(scopes[:balancers])
		beforeAgents := sumBytes(scopes[balancers:])
		cpu := processorTime(b)
		begin := time.Now()
		if act != nil {
			act(nodes)
		}
		time.Sleep(window - time.Since(begin))
		seconds := window.Seconds()
		b.ReportMetric((sumBytes(scopes[:balancers])-before)/seconds/float64(balancers), "B/s/balancer")
		b.ReportMetric((processorTime(b)-cpu).Seconds()/seconds/float64(balancers+agents)*100, "%core/process")
		b.ReportMetric((sumBytes(scopes[balancers:])-beforeAgents)/seconds/float64(max(agents, 1)), "B/s/agent")
		b.ReportMetric(float64(liveHeap())/float64(balancers+agents), "B-heap/process")
		b.ReportMetric(float64(runtime.NumGoroutine())/float64(balancers+agents), "goroutines/process")
	}
}

// processorTime returns the CPU time that the test process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
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

// BenchmarkControlBytes measures control traffic at rest and during changes of configuration. Run it with -benchtime
// 1x.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []struct{ balancers, agents int }{{4, 0}, {16, 0}, {4, 28}, {4, 56}} {
		b.Run(fmt.Sprintf("rest/balancers=%d/agents=%d", size.balancers, size.agents), func(b *testing.B) {
			benchmarkFleet(b, size.balancers, size.agents, nil, nil)
		})
	}
	b.Run("revisions/balancers=16", func(b *testing.B) {
		number := uint64(1)
		var adopted, counted time.Duration
		benchmarkFleet(b, 16, 0, nil, func(nodes []*testNode) {
			for range 5 {
				number++
				begin := time.Now()
				nodes[0].adopter.Offer(routeRevision(number, "route-svc"), revision.SourceHead)
				for _, n := range nodes {
					eventually(b, "in force", func() bool { return n.adopter.Number() == number })
					n.Confirm(number)
				}
				adopted += time.Since(begin)
				eventually(b, "counted", func() bool { return nodes[15].InForce(number).Adopted == 16 })
				counted += time.Since(begin)
			}
		})
		b.ReportMetric(adopted.Seconds()/5, "s/adopted")
		b.ReportMetric(counted.Seconds()/5, "s/counted")
	})
}

// BenchmarkCounterBytes measures the control traffic due to counters of targets: without counters, with counters that
// rise continuously, and with a rollout in addition, for which one balancer queries the watchers every 5 s. Run it with
// -benchtime 1x.
func BenchmarkCounterBytes(b *testing.B) {
	const balancers, agents = 4, 28
	begin := time.Now()
	rising := func() (uint64, uint64) {
		n := uint64(time.Since(begin).Milliseconds())
		return 1e9 + n, 1e6 + n/100
	}
	b.Run("none", func(b *testing.B) { benchmarkFleet(b, balancers, agents, nil, nil) })
	b.Run("rising", func(b *testing.B) { benchmarkFleet(b, balancers, agents, rising, nil) })
	b.Run("rollout", func(b *testing.B) {
		benchmarkFleet(b, balancers, agents, rising, func(nodes []*testNode) {
			for range 2 {
				got := nodes[0].Counters(b.Context(), "route-svc")
				require.Equal(b, got.Asked, got.Answered)
				time.Sleep(4900 * time.Millisecond)
			}
		})
	})
}

// BenchmarkJoin measures the time and the bytes that a joining balancer needs to receive the members of the largest
// fleet from a peer. Run it with -benchtime 1x.
func BenchmarkJoin(b *testing.B) {
	for b.Loop() {
		known := startNode(b, "known", func(c *NodeConfig) { c.BytesPerSecond = 0 })
		for _, m := range fleetMembers(fleetBalancers, fleetAgents) {
			m.ControlAddr = ""
			known.table.Merge(m, time.Now())
		}
		scope := tally.NewTestScope("", nil)
		begin := time.Now()
		late := startNode(b, "late", func(c *NodeConfig) {
			c.Seeds, c.BytesPerSecond, c.Metrics = addrsOf([]*testNode{known}), 0, scope
		})
		eventually(b, "all known", func() bool { return len(late.table.Members()) == fleetBalancers+fleetAgents+2 })
		b.ReportMetric(time.Since(begin).Seconds(), "s")
		b.ReportMetric(controlBytes(scope), "B")
	}
}

// BenchmarkTableMemory measures the heap size of a table of the largest fleet.
func BenchmarkTableMemory(b *testing.B) {
	members := fleetMembers(fleetBalancers, fleetAgents)
	for b.Loop() {
		before := liveHeap()
		t := membership.NewTable(membership.TableConfig{})
		for _, m := range members {
			t.Merge(m, testTime)
		}
		b.ReportMetric(float64(liveHeap()-before), "B/table")
		runtime.KeepAlive(t)
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDetectorTick measures Detector.Tick with the largest fleet, after a change of one agent or one balancer.
func BenchmarkDetectorTick(b *testing.B) {
	for name, id := range map[string]string{"agent": "target-0000", "balancer": "balancer-0001"} {
		b.Run("changed="+name, func(b *testing.B) {
			t := membership.NewTable(membership.TableConfig{})
			for _, m := range fleetMembers(fleetBalancers, fleetAgents) {
				t.Merge(m, testTime)
			}
			d := membership.NewDetector(membership.DetectorConfig{Self: "balancer-0000"}, t)
			d.Tick(testTime)
			for b.Loop() {
				m, _ := t.Get(id)
				m.Sequence++
				m.State = membership.StateActive
				if m.Role == membership.RoleBalancer && m.Sequence%2 == 0 {
					m.State = membership.StateDead
				}
				t.Merge(m, testTime)
				d.Tick(testTime)
			}
		})
	}
}
