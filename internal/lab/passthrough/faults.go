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

const (
	// agentDowntime is the time before a killed agent is started again.
	agentDowntime = 600 * time.Millisecond
	// detection is how long the fabric goes on sending packets to a balancer that leaves or was killed.
	detection = time.Second
	// outage is the duration of an outage of the object API.
	outage = 3 * time.Second
	// drainTime is the drain timeout of a target; the longest flows take about 4 s.
	drainTime = 6 * time.Second
	// heartbeatDelay is how long the heartbeats of a live target are withheld: it is considered lost after three intervals.
	heartbeatDelay = 3 * time.Second
	// unevenDelay is the delay of the object API's answers to the balancer that uneven-updates starts.
	unevenDelay = 800 * time.Millisecond
)

// faults injects the faults at random times within the window, and changes the configuration four times.
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
			// The object API may be down; the next change is attempted anyway.
			if err := l.configure(ctx); err != nil {
				l.log.Info().Err(err).Msg("configuration change failed")
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
		return l.startBalancer(delayedStore{l.store})
	case flows.FaultBalancerLeave:
		b := l.takeBalancer(r)
		time.Sleep(detection)
		l.removeFromRotation(b)
		b.stop()
		<-b.done
	case flows.FaultBalancerKill:
		b := l.takeBalancer(r)
		b.daemon.Close()
		time.Sleep(detection)
		l.removeFromRotation(b)
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

// takeBalancer selects a random balancer in rotation.
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

func (l *lab) removeFromRotation(b *balancerNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.rotation = false
}

// takeAgent selects a random agent that no other fault uses and marks it as leaving. If there is none, it returns any agent.
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

// drain drains a target: it announces the state, serves its flows until they end or drainTime is over, and stops its agent.
func (l *lab) drain(n *agentNode) {
	n.target.mu.Lock()
	n.target.draining = true
	n.target.mu.Unlock()
	// The wait is bounded, as a flow whose last packet was lost stays open at the target.
	for end := time.Now().Add(drainTime); n.target.open() > 0 && time.Now().Before(end); {
		time.Sleep(heartbeat)
	}
	n.stop()
	<-n.done
}

// holdHeartbeats withholds the heartbeats of a live target for heartbeatDelay.
func (l *lab) holdHeartbeats(n *agentNode) {
	n.target.hold(true)
	time.Sleep(heartbeatDelay)
	n.target.hold(false)
	l.mu.Lock()
	n.leaving = false
	l.mu.Unlock()
}

// killAgent kills an agent while its target keeps running, and starts it again after agentDowntime.
func (l *lab) killAgent(n *agentNode) error {
	l.mu.Lock()
	n.leaving, n.deadAt = false, time.Now()
	l.mu.Unlock()
	n.daemon.Close()
	<-n.done
	time.Sleep(agentDowntime)
	err := l.startAgent(n, false)
	l.mu.Lock()
	n.backAt = time.Now()
	l.mu.Unlock()
	return err
}

// delayedStore is an object API that delays the answers to Get by unevenDelay.
type delayedStore struct {
	objectapi.Store
}

// Get implements objectapi.Store.
func (s delayedStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	select {
	case <-ctx.Done():
		return objectapi.Object{}, ctx.Err()
	case <-time.After(unevenDelay):
	}
	return o, err
}
