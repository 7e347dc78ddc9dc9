package control

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/balancerd"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// balancer is a balancer daemon with the revisions that its packet path has adopted.
type balancer struct {
	name, region string
	// number counts the processes started, and place selects the region and data centre.
	number, place int
	daemon        *balancerd.Daemon
	gate          *gate
	scope         tally.TestScope
	stop          context.CancelFunc
	started       time.Time

	mu        sync.Mutex
	adoptions []adoption
	targets   int
	// leaving stops new callers from being sent to a balancer that is about to be killed.
	leaving bool
	died    time.Time
}

// adoption is the first use of a revision by the packet path.
type adoption struct {
	at     time.Time
	number uint64
	sum    uint64
}

// recordAdoption records a view that the packet path uses; a view of the same revision as the last one adds no adoption.
func (b *balancer) recordAdoption(v *view.View) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = activeTargets(v)
	if n := len(b.adoptions); n > 0 && b.adoptions[n-1].number == v.Revision {
		return
	}
	b.adoptions = append(b.adoptions, adoption{at: now, number: v.Revision, sum: sumOfView(v)})
}

func activeTargets(v *view.View) int {
	n := 0
	for _, s := range v.Services {
		for _, t := range s.Targets {
			if t.State == view.StateActive {
				n++
			}
		}
	}
	return n
}

func (b *balancer) wrapView(next func(*view.View)) func(*view.View) {
	return func(v *view.View) {
		next(v)
		b.recordAdoption(v)
	}
}

func (b *balancer) history() []adoption {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]adoption(nil), b.adoptions...)
}

// current returns the last revision of the packet path and the number of active targets in its view.
func (b *balancer) current() (revision uint64, targets int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.adoptions) == 0 {
		return 0, b.targets
	}
	return b.adoptions[len(b.adoptions)-1].number, b.targets
}

func (b *balancer) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

func (b *balancer) takesCallers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.leaving
}

// kill stops the balancer abruptly, as the loss of its VM would.
func (b *balancer) kill() {
	b.gate.dead.Store(true)
	b.daemon.Kill()
	b.mu.Lock()
	b.died = time.Now()
	b.mu.Unlock()
	b.stop()
}

// bytes returns the control bytes sent and received so far.
func (b *balancer) bytes() int64 {
	var n int64
	for _, c := range b.scope.Snapshot().Counters() {
		if c.Name() == "control_bytes_sent" || c.Name() == "control_bytes_received" {
			n += c.Value()
		}
	}
	return n
}

// member returns the balancer's view of a process.
func (b *balancer) member(id string) (membership.Member, bool) {
	for _, m := range b.daemon.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return membership.Member{}, false
}

func (c *cluster) join(ctx context.Context) (*balancer, error) {
	n := c.next()
	return c.startBalancer(ctx, n, processName("balancer", n), n)
}

// restart starts a balancer with the name, region and data centre of one that was killed.
func (c *cluster) restart(ctx context.Context, gone *balancer) (*balancer, error) {
	return c.startBalancer(ctx, c.next(), gone.name, gone.place)
}

func (c *cluster) startBalancer(ctx context.Context, n int, name string, at int) (*balancer, error) {
	s := settings.DefaultBalancer()
	s.Name = name
	s.Region, s.DataCentre = c.o.place(at)
	s.PacketAddress, s.ControlAddress = loopback, loopback
	s.FabricAddress = c.callers.addr().String()
	s.Peers = c.controlAddrs("")
	s.Workers = 1
	s.CachedFlows = cachedFlows
	s.ObjectAPI.URL = c.api.url
	if c.o.LeaseTime > 0 {
		s.LeaseTime = settings.NewDuration(c.o.LeaseTime)
	}
	b := &balancer{name: s.Name, region: s.Region, number: n, place: at, scope: tally.NewTestScope("", nil), started: time.Now()}
	b.gate = &gate{unfenced: c.o.unfenced}
	d, err := balancerd.New(balancerd.Options{
		Settings:  s,
		Env:       telemetry.Env{Log: c.o.Log.With().Str(telemetry.FieldProcess, s.Name).Logger(), Scope: b.scope, Status: &telemetry.Status{}},
		WrapStore: func(s objectapi.Store) objectapi.Store { return b.gate.wrap(s) },
		WrapView:  b.wrapView,
		Dial:      c.boundary.dialer(s.Region),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.boundary.place(d.ControlAddr(), s.Region)
	run, stop := context.WithCancel(ctx)
	b.daemon, b.stop = d, stop
	c.done.Go(func() {
		if err := d.Run(run); err != nil {
			c.o.Log.Error().Err(err).Str("op", "run").Str("process", s.Name).Send()
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancers = append(c.balancers, b)
	return b, nil
}
