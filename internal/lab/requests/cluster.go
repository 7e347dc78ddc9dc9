package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/request"
)

const (
	// viewDelay is how long a dead agent stays in the view of the others.
	viewDelay = 200 * time.Millisecond
	// claimRate is the writes per second of one agent: the object API's 400 divided among eleven agents.
	claimRate = 36
)

// cluster holds the agents and targets of one run.
type cluster struct {
	policy policy
	store  *store
	truth  *truth
	pace   pace
	log    zerolog.Logger
	rec    *recorder
	// daemons is nil in a run without real daemons.
	daemons Daemons

	mu      sync.RWMutex
	rand    *rand.Rand
	agents  map[string][]*agent
	targets []*target
	next    uint64
}

func newCluster(d deployment, p policy, t *truth, scale pace, seed uint64, log zerolog.Logger, daemons Daemons) (*cluster, error) {
	c := &cluster{policy: p, store: newStore(seed), truth: t, pace: scale, log: log, rec: &recorder{},
		rand: rand.New(rand.NewPCG(seed, 5)), agents: make(map[string][]*agent), daemons: daemons}
	for _, s := range d {
		for i := range s.targets {
			if _, err := c.join(s, fmt.Sprintf("%s-%d", s.name, i+1), false); err != nil {
				return nil, trace.Wrap(err, "start target of %s", s.name)
			}
		}
	}
	return c, nil
}

// join starts a target with its agent.
func (c *cluster) join(s serviceSize, name string, cold bool) (*agent, error) {
	c.mu.Lock()
	c.next++
	incarnation := c.next
	c.mu.Unlock()
	g, err := newTarget(s.name, s.slots, c.truth, c.pace, incarnation)
	if err != nil {
		return nil, err
	}
	if cold {
		g.makeCold()
	}
	c.mu.Lock()
	c.targets = append(c.targets, g)
	c.mu.Unlock()
	return c.startAgent(s, name, g, cold)
}

// startAgent starts a new incarnation of an agent, or a real daemon when the run has daemons.
func (c *cluster) startAgent(s serviceSize, name string, g *target, cold bool) (*agent, error) {
	c.mu.Lock()
	c.next++
	incarnation := c.next
	c.mu.Unlock()
	if c.daemons != nil {
		return c.startDaemon(s, name, g)
	}
	o := request.Options{
		Agent: name, Incarnation: incarnation, Service: s.name, Slots: s.slots, Cold: cold, Store: c.store,
		ClaimRate: claimRate, Recorder: c.rec, Log: c.log, Peers: &view{cluster: c, service: s.name, self: name},
		Deadline: c.pace.deadline,
	}
	switch c.policy {
	case policyNoShed:
		o.Slots, o.Queue, o.Unbounded = noShedSlots, noShedSlots, true
	case policyUnbounded:
		o.Queue, o.Unbounded = noShedSlots, true
	}
	a, err := startAgent(o, g)
	if err != nil {
		return nil, err
	}
	c.add(s, a)
	return a, nil
}

// startDaemon starts a real agent beside the target.
func (c *cluster) startDaemon(s serviceSize, name string, g *target) (*agent, error) {
	d, err := c.daemons.StartAgent(s.name, name, s.slots, g.addr)
	if err != nil {
		return nil, err
	}
	a := &agent{name: name, target: g, daemon: d}
	c.add(s, a)
	return a, nil
}

func (c *cluster) add(s serviceSize, a *agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents[s.name] = append(c.agents[s.name], a)
}

// setStoreFaults sets the faults of the object API: an outage, and the loss of responses to writes.
func (c *cluster) setStoreFaults(down, loses bool) {
	c.store.down.Store(down)
	c.store.loses.Store(loses)
	if c.daemons != nil {
		c.daemons.StoreFaults(down, loses)
	}
}

// remove removes an agent from the view of callers and other agents.
func (c *cluster) remove(service string, a *agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []*agent
	for _, other := range c.agents[service] {
		if other != a {
			rest = append(rest, other)
		}
	}
	c.agents[service] = rest
}

func (c *cluster) list(service string) []*agent {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.agents[service]
}

// DialService connects to an agent that isn't leaving: the one with fewer flows of two chosen at random, or any random
// one with a policy that doesn't balance load.
func (c *cluster) DialService(ctx context.Context, service string, caller netip.Addr) (net.Conn, error) {
	a := c.pick(service, caller)
	if a == nil {
		return nil, trace.ConnectionProblem(nil, "no agent of %s", service)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: caller.AsSlice()}}
	return d.DialContext(ctx, "tcp", a.callers.Addr().String())
}

func (c *cluster) pick(service string, _ netip.Addr) *agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var active []*agent
	for _, a := range c.agents[service] {
		if !a.leaving.Load() {
			active = append(active, a)
		}
	}
	if len(active) == 0 {
		return nil
	}
	first := active[c.rand.IntN(len(active))]
	if !c.policy.balancesLoad() {
		return first
	}
	second := active[c.rand.IntN(len(active))]
	if second.flows.Load() < first.flows.Load() {
		return second
	}
	return first
}

// awaitActive waits until all targets are active on the real daemons, if there are any.
func (c *cluster) awaitActive(ctx context.Context) error {
	if c.daemons == nil {
		return nil
	}
	return c.daemons.AwaitActive(ctx, len(c.targets))
}

// close kills all agents and targets and closes the daemons.
func (c *cluster) close() {
	if c.daemons != nil {
		defer c.daemons.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.agents {
		for _, a := range list {
			a.kill()
		}
	}
	for _, g := range c.targets {
		g.kill()
	}
}
