package capacity

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer"
	"github.com/auburnwood/auburnwood/pkg/revision"
	"github.com/auburnwood/auburnwood/pkg/view"
)

const (
	// fleetTimeout bounds the wait for a state of the fleet.
	fleetTimeout = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	// detectionDelay is so long that targets without a process are never suspected.
	detectionDelay = time.Hour
)

// controlNode is the control plane of a balancer, on loopback.
type controlNode struct {
	node    *peer.Node
	adopter *revision.Adopter
	metrics tally.TestScope
}

// controlFleet is a set of balancers and agents that communicate over loopback.
type controlFleet struct {
	nodes    []*controlNode
	sessions []tally.TestScope
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// fleetOptions configures a fleet.
type fleetOptions struct {
	balancers int
	// records is the number of targets that are in the tables but have no process.
	records  int
	services int
}

func startFleet(ctx context.Context, o fleetOptions) (*controlFleet, error) {
	f := &controlFleet{}
	f.ctx, f.cancel = context.WithCancel(ctx)
	records := newTargets(o.records, max(o.services, 1))
	var seeds []string
	for i := range o.balancers {
		n, err := newControlNode(i, seeds, records)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		seeds = append(seeds, n.node.Addr().String())
		f.done.Go(func() { _ = n.node.Serve(f.ctx) })
		f.done.Go(func() { _ = n.node.WatchViews(f.ctx, func(v *view.View) { n.node.Confirm(v.Revision) }) })
	}
	f.nodes[0].adopter.Offer(newRevision(1, max(o.services, 1)), revision.SourceHead)
	return f, f.await("all members active and revision in force on all", func() bool { return f.count() == o.records+o.balancers && f.inForce(1) })
}

func newControlNode(i int, seeds []string, records []membership.Member) (*controlNode, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t := membership.NewTable(membership.TableConfig{})
	for _, m := range records {
		t.Merge(m, time.Now())
	}
	self := newMember(membership.RoleBalancer, i)
	self.ControlAddr, self.Sequence = l.Addr().String(), 1
	n := &controlNode{adopter: revision.NewAdopter(zerolog.Nop()), metrics: tally.NewTestScope("", nil)}
	n.node, err = peer.NewNode(peer.NodeConfig{
		Self: self, Listener: l, Seeds: seeds, Table: t, Adopter: n.adopter, Seed: uint64(i + 1),
		Detector: membership.DetectorConfig{SuspectAfter: detectionDelay, Grace: detectionDelay},
		Log:      zerolog.Nop(), Metrics: n.metrics,
	})
	return n, trace.Wrap(err)
}

// addAgents starts count agents at once and waits until all balancers see them as active.
func (f *controlFleet) addAgents(count, services int) error {
	var seeds []string
	for _, n := range f.nodes {
		seeds = append(seeds, n.node.Addr().String())
	}
	for i := range count {
		m := newMember(membership.RoleAgent, i)
		m.PacketAddr = netip.AddrPortFrom(loopback.Addr(), uint16(10000+i))
		m.Service, m.Version, m.Slots, m.Connections, m.Sequence = serviceName(i%services), "v1", 4, 2000, 1
		metrics := tally.NewTestScope("", nil)
		s, err := peer.NewSession(peer.SessionConfig{
			Self: m, Seeds: []string{seeds[i%len(seeds)], seeds[(i+1)%len(seeds)]}, OnView: func(*view.Service) {},
			Log: zerolog.Nop(), Metrics: metrics,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		f.sessions = append(f.sessions, metrics)
		f.done.Go(func() { _ = s.Run(f.ctx) })
	}
	return f.await("all agents active", func() bool { return f.count() == count+len(f.nodes) })
}

// count returns the lowest number of active members in any node's table.
func (f *controlFleet) count() int {
	lowest := -1
	for _, n := range f.nodes {
		active := 0
		for _, m := range n.node.Table().Members() {
			if m.State == membership.StateActive {
				active++
			}
		}
		if lowest < 0 || active < lowest {
			lowest = active
		}
	}
	return lowest
}

// inForce reports whether all nodes know that all have the revision in force.
func (f *controlFleet) inForce(number uint64) bool {
	for _, n := range f.nodes {
		if count := n.node.InForce(number); count.Adopted < len(f.nodes) || count.Known != len(f.nodes) {
			return false
		}
	}
	return true
}

// tablesAgree reports whether all tables are equal.
func (f *controlFleet) tablesAgree() bool {
	root := f.nodes[0].node.Table().Root()
	for _, n := range f.nodes {
		if n.node.Table().Root() != root {
			return false
		}
	}
	return true
}

func (f *controlFleet) await(what string, ready func() bool) error {
	end := time.Now().Add(fleetTimeout)
	for !ready() {
		if time.Now().After(end) {
			return trace.LimitExceeded("%s: not reached within %s", what, fleetTimeout)
		}
		select {
		case <-f.ctx.Done():
			return trace.Wrap(f.ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// pause waits for d or until the context of the fleet ends.
func (f *controlFleet) pause(d time.Duration) {
	select {
	case <-f.ctx.Done():
	case <-time.After(d):
	}
}

// bytes returns the bytes sent and received by all balancers and by all agents.
func (f *controlFleet) bytes() (balancers, agents float64) {
	for _, n := range f.nodes {
		balancers += countedBytes(n.metrics)
	}
	for _, s := range f.sessions {
		agents += countedBytes(s)
	}
	return balancers, agents
}

func countedBytes(s tally.TestScope) float64 {
	sum := 0.0
	counters := s.Snapshot().Counters()
	for _, name := range []string{"control_bytes_sent", "control_bytes_received"} {
		c, ok := counters[name+"+"]
		if ok {
			sum += float64(c.Value())
		}
	}
	return sum
}

// close ends all processes as if their VMs had failed.
func (f *controlFleet) close() {
	for _, n := range f.nodes {
		n.node.Kill()
	}
	f.cancel()
	f.done.Wait()
}

// cost is the resource use of the processes during a measurement.
type cost struct {
	// bytes is the mean number of bytes sent and received by a balancer, agentBytes that of an agent.
	bytes, agentBytes float64
	// core is the processor time of all processes.
	core time.Duration
	// seconds is the elapsed time.
	seconds float64
}

// measureCost measures the resource use while act runs.
func (f *controlFleet) measureCost(act func() error) (cost, error) {
	balancers, agents := f.bytes()
	used, begin := processorTime(), time.Now()
	err := act()
	c := cost{core: processorTime() - used, seconds: time.Since(begin).Seconds()}
	after, afterAgents := f.bytes()
	c.bytes = (after - balancers) / float64(len(f.nodes))
	if len(f.sessions) > 0 {
		c.agentBytes = (afterAgents - agents) / float64(len(f.sessions))
	}
	return c, err
}

// errNoBytes is returned when the byte counters stayed at 0, for example after a rename of a metric.
func errNoBytes(step string) error {
	return trace.NotFound("%s", fmt.Sprintf("%s: control_bytes_sent and control_bytes_received counted nothing", step))
}
