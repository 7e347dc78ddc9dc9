package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/ctl"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// invalidEvery and claimEvery say how often a change is invalid or claims another service's address.
	invalidEvery = 12
	claimEvery   = 17
	// raceEvery says how often two changes are made concurrently under FaultRacingOperators.
	raceEvery = 4
	// callRetryDelay is the pause after a failed call, and callLimit the maximum number of calls of one change.
	callRetryDelay = 300 * time.Millisecond
	callLimit      = 100
)

// operators make changes and record the results.
type operators struct {
	c *cluster

	mu      sync.Mutex
	random  *rand.Rand
	next    uint32
	changes []*change
}

func newOperators(c *cluster, seed uint64) *operators {
	return &operators{c: c, random: rand.New(rand.NewPCG(seed, 2)), next: uint32(c.services())}
}

// firstServices stores the initial services; their changes are numbered from 1.
func (c *cluster) firstServices() error {
	applier := ctl.Applier{Store: objectapi.NewClient(c.operators.url, objectapi.Options{})}
	for i := range c.services() {
		if _, err := applier.Apply(c.ctx, newService(serviceName(i), uint32(i+1), serviceIP(i))); err != nil {
			return trace.Wrap(err, "apply %s", serviceName(i))
		}
	}
	return nil
}

// run makes the changes concurrently, spread evenly over the window, and returns when all have ended.
func (o *operators) run(ctx context.Context, count int, window time.Duration) {
	if count == 0 {
		_ = wait.For(ctx, window)
		return
	}
	var group sync.WaitGroup
	began := time.Now()
	for i := 0; i < count && ctx.Err() == nil; {
		due := began.Add(time.Duration(float64(window) * float64(i) / float64(count)))
		_ = wait.For(ctx, time.Until(due))
		list := o.plan(i, count-i)
		i += len(list)
		for operator, x := range list {
			group.Go(func() { o.apply(ctx, operator, x) })
		}
	}
	group.Wait()
}

// plan returns the next change, or two concurrent ones.
func (o *operators) plan(i, left int) []*change {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.c.services()
	service := i % n
	switch {
	case o.c.o.has(FaultRacingOperators) && i%raceEvery == 0 && left > 1:
		return o.race(i, service)
	case i%invalidEvery == invalidEvery-1:
		x := o.add(changeInvalid, serviceName(service), serviceIP(service))
		x.service.Spec.Mode = invalidMode
		return []*change{x}
	case i%claimEvery == claimEvery-1 && n > 1:
		return []*change{o.add(changeClaim, serviceName(service), serviceIP(service), serviceIP((service+1)%n))}
	}
	return []*change{o.add(changeValid, serviceName(service), serviceIP(service))}
}

// race returns two changes of one service, or two new services that claim one address; mu is held.
func (o *operators) race(i, service int) []*change {
	if o.random.IntN(2) == 0 {
		return []*change{
			o.add(changeRace, serviceName(service), serviceIP(service)),
			o.add(changeRace, serviceName(service), serviceIP(service)),
		}
	}
	ip := raceIP(uint32(i))
	return []*change{
		o.add(changeRace, fmt.Sprintf("race-%03d-a", i), ip),
		o.add(changeRace, fmt.Sprintf("race-%03d-b", i), ip),
	}
}

func (o *operators) add(k changeKind, name string, ips ...string) *change {
	o.next++
	x := &change{number: o.next, kind: k, service: newService(name, o.next, ips...)}
	o.changes = append(o.changes, x)
	return x
}

// apply makes one change and repeats it until it succeeds or conflicts, callLimit times at most. Odd-numbered operators
// let the applier retry conflicts.
func (o *operators) apply(ctx context.Context, operator int, x *change) {
	applier := ctl.Applier{Store: objectapi.NewClient(o.c.operators.url, objectapi.Options{}), Retries: operator % 2 * 3}
	for range callLimit {
		result, err := applier.Apply(ctx, x.service)
		if ctx.Err() != nil {
			return
		}
		o.recordOutcome(x, callOutcome{result: result, err: err, stored: o.c.truth.stored(x.number)})
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return
		}
		_ = wait.For(ctx, callRetryDelay)
	}
}

func (o *operators) recordOutcome(x *change, out callOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.calls = append(x.calls, out)
}
