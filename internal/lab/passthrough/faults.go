package passthrough

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/internal/lab/flows"
	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Times of the faults.
const (
	// awayTime is how long an agent that was killed is away.
	awayTime = 600 * time.Millisecond
	// detection is how long the fabric sends packets to a balancer that was killed.
	detection = time.Second
	// outage is how long the object API is down.
	outage = 3 * time.Second
	// drainTime is how long a leaving target waits for its flows; the longest take about 4 s.
	drainTime = 6 * time.Second
	// lateTime is how late the heartbeats of a living target are: it is taken for gone after three intervals.
	lateTime = 3 * time.Second
	// unevenDelay is how late the object API answers one balancer.
	unevenDelay = 800 * time.Millisecond
)

// faults makes the faults within the window.
func (l *lab) faults(ctx context.Context, r *rand.Rand) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range l.o.Faults {
		at := time.Duration((0.2 + 0.4*r.Float64()) * float64(l.o.Window))
		choice := r.Uint64()
		g.Go(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(at):
			}
			return l.fault(ctx, f, rand.New(rand.NewPCG(choice, 1)))
		})
	}
	g.Go(func() error {
		for range 4 {
			time.Sleep(l.o.Window / 6)
			// The object API may be down; the next change is tried again.
			if err := l.configure(ctx); err != nil {
				l.log.Info().Err(err).Msg("a change was not taken")
			}
		}
		return nil
	})
	return g.Wait()
}

func (l *lab) fault(ctx context.Context, f flows.Fault, r *rand.Rand) error {
	switch f {
	case flows.FaultBalancerJoin:
		return l.startBalancer(l.store)
	case flows.FaultUneven:
		return l.startBalancer(late{l.store})
	case flows.FaultBalancerLeave:
		b := l.takeBalancer(r)
		time.Sleep(detection)
		l.outOfRotation(b)
		b.stop()
		<-b.done
	case flows.FaultBalancerKill:
		b := l.takeBalancer(r)
		b.daemon.Close()
		time.Sleep(detection)
		l.outOfRotation(b)
	case flows.FaultTargetJoin:
		return l.startTarget(l.services[r.IntN(len(l.services))], false)
	case flows.FaultTargetDrain:
		l.drain(l.takeAgent(r))
	case flows.FaultTargetKill:
		l.takeAgent(r).target.kill()
	case flows.FaultFalseDeath:
		l.holdHeartbeats(l.takeAgent(r))
	case flows.FaultAgentKill:
		return l.killAgent(l.takeAgent(r))
	case flows.FaultStoreDown:
		l.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(outage)
		l.store.SetFaults(store.Faults{})
	}
	return nil
}

// takeBalancer chooses a balancer in rotation that no other fault has.
func (l *lab) takeBalancer(r *rand.Rand) *balancerNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := r.IntN(len(l.balancers))
	for i := range l.balancers {
		b := l.balancers[(first+i)%len(l.balancers)]
		if b.rotation && b.stop != nil {
			return b
		}
	}
	return l.balancers[first]
}

func (l *lab) outOfRotation(b *balancerNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.rotation = false
}

// takeAgent chooses an agent that no other fault has, of a service with several.
func (l *lab) takeAgent(r *rand.Rand) *agentNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := r.IntN(len(l.agents))
	for i := range l.agents {
		n := l.agents[(first+i)%len(l.agents)]
		if !n.leaving && n.deadAt.IsZero() {
			n.leaving = true
			return n
		}
	}
	return l.agents[first]
}

// drain lets a target leave: it says so, goes on with its flows, and ends with its agent.
func (l *lab) drain(n *agentNode) {
	n.target.mu.Lock()
	n.target.draining = true
	n.target.mu.Unlock()
	// A flow whose last packet was lost stays open at the target; it is not waited for.
	for end := time.Now().Add(drainTime); n.target.open() > 0 && time.Now().Before(end); {
		time.Sleep(heartbeat)
	}
	n.stop()
	<-n.done
}

// holdHeartbeats keeps the heartbeats of a living target back for a while.
func (l *lab) holdHeartbeats(n *agentNode) {
	n.target.hold(true)
	time.Sleep(lateTime)
	n.target.hold(false)
	l.mu.Lock()
	n.leaving = false
	l.mu.Unlock()
}

// killAgent ends an agent beside its living target, and starts it again after a while.
func (l *lab) killAgent(n *agentNode) error {
	l.mu.Lock()
	n.leaving, n.deadAt = false, time.Now()
	l.mu.Unlock()
	n.daemon.Close()
	<-n.done
	time.Sleep(awayTime)
	err := l.startAgent(n, false)
	l.mu.Lock()
	n.backAt = time.Now()
	l.mu.Unlock()
	return err
}

// late is an object API whose answers come late.
type late struct {
	objectapi.Store
}

// Get implements objectapi.Store.
func (s late) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	select {
	case <-ctx.Done():
		return objectapi.Object{}, ctx.Err()
	case <-time.After(unevenDelay):
	}
	return o, err
}
