package flows

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// faultSpread is the time within which the faults start.
	faultSpread = 2 * time.Second
	// storeDownFraction is the duration of the store outage as a fraction of the window.
	storeDownFraction = 0.6
	// falseDeathTime is how long a live target is removed from the views.
	falseDeathTime = 3 * time.Second
)

// script injects the faults of a run, each at its own time.
type script struct {
	opts    Options
	cluster Cluster
	events  *events
	ctx     context.Context
	done    sync.WaitGroup
	mu      sync.Mutex
	random  *rand.Rand
	taken   map[string]bool
}

func newScript(ctx context.Context, o Options, c Cluster, e *events) *script {
	return &script{opts: o, cluster: c, events: e, ctx: ctx, random: rand.New(rand.NewPCG(o.Seed, 4)), taken: map[string]bool{}}
}

// start schedules every fault at a random time within faultSpread.
func (s *script) start() {
	for _, f := range s.opts.Faults {
		at := s.draw(faultSpread)
		s.done.Go(func() {
			if wait.For(s.ctx, at) != nil {
				return
			}
			if err := s.make(f); err != nil && s.ctx.Err() == nil {
				s.events.failed(trace.Wrap(err, "%s", f))
			}
		})
	}
}

func (s *script) draw(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *script) make(f Fault) error {
	switch f {
	case FaultBalancerJoin:
		return s.balancerJoin()
	case FaultBalancerLeave:
		return s.balancerLeave()
	case FaultBalancerKill:
		return s.balancerKill()
	case FaultTargetJoin:
		return s.eachService(s.targetJoin)
	case FaultTargetDrain:
		return s.eachService(s.targetDrain)
	case FaultTargetKill:
		return s.killOne(s.cluster.KillTarget, "process")
	case FaultAgentKill:
		s.events.killed()
		return s.killOne(s.cluster.KillAgent, "VM")
	case FaultFalseDeath:
		return s.falseDeath()
	case FaultStoreDown:
		return s.storeDown()
	}
	return nil
}

func (s *script) balancerJoin() error {
	name, err := s.cluster.JoinBalancer(s.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	s.events.printf("%s joined", name)
	return nil
}

func (s *script) balancerLeave() error {
	name, err := s.pickBalancer()
	if err != nil {
		return trace.Wrap(err)
	}
	s.events.printf("%s leaving", name)
	if err := s.cluster.LeaveBalancer(s.ctx, name); err != nil {
		return trace.Wrap(err)
	}
	s.events.printf("%s left", name)
	return nil
}

func (s *script) balancerKill() error {
	name, err := s.pickBalancer()
	if err != nil {
		return trace.Wrap(err)
	}
	s.events.killed()
	s.events.printf("%s killed", name)
	return trace.Wrap(s.cluster.KillBalancer(name))
}

// pickBalancer selects a random balancer that no other fault uses.
func (s *script) pickBalancer() (string, error) {
	return s.pick(s.cluster.Balancers(), "balancer")
}

func (s *script) pick(names []string, what string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names = slices.DeleteFunc(names, func(n string) bool { return s.taken[n] })
	if len(names) == 0 {
		return "", trace.NotFound("no %s is available for a fault", what)
	}
	name := names[s.random.IntN(len(names))]
	s.taken[name] = true
	return name, nil
}

// pickTarget selects a random active target of the service that no other fault uses.
func (s *script) pickTarget(service string) (string, error) {
	return s.pick(s.free(service), "target of "+service)
}

// free returns the active targets of a service that no fault uses; a target that a fault has picked may still be active.
func (s *script) free(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, t := range s.cluster.Targets() {
		if t.Service == service && t.State == view.StateActive && !s.taken[t.ID] {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// eachService calls do concurrently for every service.
func (s *script) eachService(do func(service string) error) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, service := range s.cluster.Services() {
		wg.Go(func() {
			if err := do(service.Name); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	wg.Wait()
	return trace.NewAggregate(errs...)
}

// targetJoin adds one target per round, spread over the window.
func (s *script) targetJoin(service string) error {
	return s.rounds(func() error {
		id, err := s.cluster.JoinTarget(s.ctx, service)
		if err != nil {
			return trace.Wrap(err)
		}
		s.events.printf("target %s joined", id)
		return nil
	})
}

// targetDrain starts to drain one target per round; the drains run in the background until the last flow has ended.
func (s *script) targetDrain(service string) error {
	least := s.activeTargets(service)/2 + 1
	return s.rounds(func() error {
		if err := s.awaitTargets(service, least); err != nil {
			return trace.Wrap(err)
		}
		id, err := s.pickTarget(service)
		if err != nil {
			return trace.Wrap(err)
		}
		s.events.targetDrained(id)
		s.done.Go(func() { s.drain(id) })
		return nil
	})
}

// awaitTargets waits until the service has at least the given number of active targets, so that drains don't empty a
// service when joins are slower, as on a busy machine.
func (s *script) awaitTargets(service string, least int) error {
	for s.activeTargets(service) < least {
		if err := wait.For(s.ctx, sampleInterval); err != nil {
			return trace.Wrap(err, "wait for %d targets of %s", least, service)
		}
	}
	return nil
}

func (s *script) activeTargets(service string) int {
	return len(s.free(service))
}

func (s *script) drain(id string) {
	err := s.cluster.DrainTarget(s.ctx, id)
	switch {
	case s.ctx.Err() != nil:
	case err != nil:
		s.events.failed(trace.Wrap(err, "drain %s", id))
	default:
		s.events.printf("target %s left", id)
	}
}

func (s *script) rounds(do func() error) error {
	every := (s.opts.Window - faultSpread) / time.Duration(s.opts.Rounds)
	for i := range s.opts.Rounds {
		began := time.Now()
		if err := do(); err != nil {
			return trace.Wrap(err, "round %d", i+1)
		}
		if i+1 < s.opts.Rounds && wait.For(s.ctx, every-time.Since(began)) != nil {
			return nil
		}
	}
	return nil
}

// killOne kills a target of the first service.
func (s *script) killOne(kill func(id string) error, how string) error {
	service := s.cluster.Services()[0].Name
	id, err := s.pickTarget(service)
	if err != nil {
		return trace.Wrap(err)
	}
	s.events.targetKilled(id, how)
	return trace.Wrap(kill(id))
}

func (s *script) falseDeath() error {
	suspecter, ok := s.cluster.(Suspecter)
	if !ok {
		return trace.NotImplemented("the cluster cannot falsely declare a live target dead")
	}
	id, err := s.pickTarget(s.cluster.Services()[0].Name)
	if err != nil {
		return trace.Wrap(err)
	}
	s.events.printf("target %s falsely declared dead for %s", id, falseDeathTime)
	return trace.Wrap(suspecter.SuspectTarget(id, falseDeathTime))
}

func (s *script) storeDown() error {
	s.cluster.StoreDown(true)
	s.events.printf("store down")
	err := wait.For(s.ctx, time.Duration(storeDownFraction*float64(s.opts.Window)))
	s.cluster.StoreDown(false)
	s.events.printf("store up")
	return trace.Wrap(err)
}
