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
	// fleetTimeout bounds what a fleet is awaited for.
	fleetTimeout = 30 * time.Second
	pollTime     = 5 * time.Millisecond
	// silentFor keeps the records of targets that have no process from being judged dead.
	silentFor = time.Hour
)

// controlNode is a balancer's control side on loopback.
type controlNode struct {
	node    *peer.Node
	adopter *revision.Adopter
	metrics tally.TestScope
}

// controlFleet is a number of balancers and agents that talk to each other on loopback.
type controlFleet struct {
	nodes    []*controlNode
	sessions []tally.TestScope
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// fleetOptions say what a fleet is made of.
type fleetOptions struct {
	balancers int
	// records is the number of targets that stand in the tables without a process.
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
	return f, f.await("all know all", func() bool { return f.count() == o.records+o.balancers && f.inForce(1) })
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
		Detector: membership.DetectorConfig{SuspectAfter: silentFor, Grace: silentFor},
		Log:      zerolog.Nop(), Metrics: n.metrics,
	})
	return n, trace.Wrap(err)
}

// addAgents starts agents, all at once.
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

// count returns the lowest number of active members that a node knows.
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
		if count, m := n.node.InForce(number); count < len(f.nodes) || m != len(f.nodes) {
			return false
		}
	}
	return true
}

// agree reports whether all tables are equal.
func (f *controlFleet) agree() bool {
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
		case <-time.After(pollTime):
		}
	}
	return nil
}

// pause waits.
func (f *controlFleet) pause(d time.Duration) {
	select {
	case <-f.ctx.Done():
	case <-time.After(d):
	}
}

// bytes returns what the balancers, and what the agents, have sent and received.
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

// close ends all processes as if their VMs were gone.
func (f *controlFleet) close() {
	for _, n := range f.nodes {
		n.node.Kill()
	}
	f.cancel()
	f.done.Wait()
}

// cost is what processes spent in a time.
type cost struct {
	// bytes is what a balancer sent and received, agentBytes what an agent did.
	bytes, agentBytes float64
	// core is the processor time of all processes.
	core time.Duration
	// seconds is how long it took.
	seconds float64
}

// during measures what f costs.
func (f *controlFleet) during(act func() error) (cost, error) {
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

// errNoBytes reports a counter that nothing was counted in.
func errNoBytes(step string) error {
	return trace.NotFound("%s", fmt.Sprintf("%s: no control bytes were counted", step))
}
