package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// script injects the faults at fixed fractions of the window.
type script struct {
	c      *cluster
	out    io.Writer
	began  time.Time
	window time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// outages are the periods in which the store was down.
	outages []span
	// joined and killed are the names of the balancers that joined and were killed.
	joined, killed []string
	// split holds the membership changes made during a partition.
	split splitWork
	// broken describes violations found while a fault was active.
	broken []string
}

// span is a period of time.
type span struct {
	from, to time.Time
}

// covers reports whether the span overlaps the period from a to b.
func (s span) covers(a, b time.Time) bool { return !s.from.After(b) && !s.to.Before(a) }

// splitWork holds the IDs of the targets that joined and left during a partition.
type splitWork struct {
	joined, left string
}

const (
	// outageTime is longer than MaxInForceStoreDown, so that a change must come into force during the outage.
	outageTime = 5 * time.Second
	// slowLatency and slowJitter delay a call when the store is slow.
	slowLatency = 100 * time.Millisecond
	slowJitter  = 200 * time.Millisecond
	loseShare   = 0.25
	// gapEvery is the interval at which the watch history is cleared, and heldKind the delay of events.
	gapEvery = 1500 * time.Millisecond
	heldKind = 300 * time.Millisecond
	repeats  = 3
	// pauseFactor is the length of a pause in lease times.
	pauseFactor = 2.4
	// refusalsBeforeKill is the number of callers that a balancer refuses just before it is killed.
	refusalsBeforeKill = 20
	syncTime           = 5 * time.Second
)

func newScript(c *cluster, out io.Writer, seed uint64) *script {
	return &script{c: c, out: out, random: rand.New(rand.NewPCG(seed, 3))}
}

// step is one fault, started at a fraction of the window.
type step struct {
	fault Fault
	at    float64
	do    func(ctx context.Context)
}

func (s *script) steps() []step {
	list := []step{
		{FaultAnswerLost, 0.02, s.loseAnswers},
		{FaultWatchGap, 0.04, s.cutWatches},
		{FaultLeasePaused, 0.08, s.pauseHolder},
		{FaultStoreDown, 0.18, s.outage},
		{FaultBalancerJoin, 0.22, s.join},
		{FaultStoreSlow, 0.38, s.slowStore},
		{FaultRegionSplit, 0.40, s.splitRegions},
		{FaultBalancerKill, 0.42, func(ctx context.Context) { s.kill(ctx) }},
		{FaultLeasePaused, 0.50, s.pauseHolderAtHead},
		{FaultStoreDown, 0.66, s.outage},
		{FaultBalancerJoin, 0.70, s.join},
		{FaultBalancerKill, 0.80, s.killAndRestart},
	}
	if s.c.o.has(FaultRegionSplit) {
		return list
	}
	// During a partition, a revision that is accepted just before an outage of the store can't reach the other region.
	return append(list, step{FaultStoreDown, 0.42, s.outage}, step{FaultStoreDown, 0.88, s.outage})
}

// run injects the configured faults and returns when all are over.
func (s *script) run(ctx context.Context, window time.Duration) {
	s.began, s.window = time.Now(), window
	var group sync.WaitGroup
	for _, x := range s.steps() {
		if !s.c.o.has(x.fault) {
			continue
		}
		group.Go(func() {
			_ = wait.For(ctx, time.Until(s.began.Add(time.Duration(x.at*float64(window)))))
			if ctx.Err() == nil {
				x.do(ctx)
			}
		})
	}
	group.Wait()
}

func (s *script) part(p float64) time.Duration { return time.Duration(p * float64(s.window)) }

func (s *script) printf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%6.2fs %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *script) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *script) loseAnswers(ctx context.Context) {
	s.printf("the store loses the answers of %.0f%% of the writes", 100*loseShare)
	s.c.truth.set(func() { s.c.truth.loseShare = loseShare })
	_ = wait.For(ctx, s.part(0.9))
	s.c.truth.set(func() { s.c.truth.loseShare = 0 })
}

func (s *script) cutWatches(ctx context.Context) {
	s.printf("watches expire every %s, events repeat and come %s late", gapEvery, heldKind)
	s.faults(func(f *store.Faults) {
		f.Duplicate = repeats
		f.HoldKinds = map[objectapi.Kind]time.Duration{resource.KindService: heldKind, resource.KindHead: heldKind / 2}
	})
	for end := time.Now().Add(s.part(0.9)); time.Now().Before(end) && ctx.Err() == nil; {
		_ = wait.For(ctx, gapEvery)
		s.c.truth.inner.ClearHistory()
	}
	s.faults(func(f *store.Faults) { f.Duplicate, f.HoldKinds = 0, nil })
}

func (s *script) slowStore(ctx context.Context) {
	s.printf("the store is slow: %s to %s for each call", slowLatency, slowLatency+slowJitter)
	s.c.truth.set(func() { s.c.truth.latency, s.c.truth.jitter = slowLatency, slowJitter })
	_ = wait.For(ctx, s.part(0.25))
	s.c.truth.set(func() { s.c.truth.latency, s.c.truth.jitter = 0, 0 })
}

// outage takes the store down for outageTime as soon as the next revision is accepted.
func (s *script) outage(ctx context.Context) {
	down := make(chan uint64, 1)
	s.c.truth.set(func() {
		s.c.truth.onAdvance = func(number uint64) {
			s.faults(func(f *store.Faults) { f.Outage = true })
			down <- number
		}
	})
	select {
	case <-ctx.Done():
		return
	case number := <-down:
		from := time.Now()
		s.printf("the store goes down right after it accepted revision %d", number)
		_ = wait.For(ctx, outageTime)
		s.faults(func(f *store.Faults) { f.Outage = false })
		s.mu.Lock()
		s.outages = append(s.outages, span{from: from, to: time.Now()})
		s.mu.Unlock()
		s.printf("the store is up again")
	}
}

// faults changes the stand-in's faults.
func (s *script) faults(change func(*store.Faults)) {
	s.c.faultMu.Lock()
	defer s.c.faultMu.Unlock()
	change(&s.c.faults)
	s.c.truth.inner.SetFaults(s.c.faults)
}

func (s *script) join(ctx context.Context) {
	b, err := s.c.join(s.c.ctx)
	if err != nil {
		s.printf("join failed: %v", err)
		return
	}
	s.mu.Lock()
	s.joined = append(s.joined, b.name)
	s.mu.Unlock()
	s.printf("%s joins", b.name)
	_ = s.c.await(startTimeout, func() bool { n, _ := b.current(); return n > 0 })
	n, _ := b.current()
	s.printf("%s has revision %d after %s", b.name, n, time.Since(b.started).Round(time.Millisecond))
}

// killAndRestart kills a balancer and restarts it at once, before the others can have declared it dead.
func (s *script) killAndRestart(ctx context.Context) {
	gone := s.kill(ctx)
	if gone == nil {
		return
	}
	b, err := s.c.restart(s.c.ctx, gone)
	if err != nil {
		s.printf("restart of %s failed: %v", gone.name, err)
		return
	}
	s.printf("%s restarts at once", b.name)
}

// kill makes a balancer refuse callers, waits up to syncTime until its records are mirrored and kills it. The last
// balancer of a region is spared, since no other decides on the region's members; kill returns nil if there is no other.
func (s *script) kill(ctx context.Context) *balancer {
	b := s.victim()
	if b == nil {
		s.printf("no balancer is killed: each is the last of its region")
		return nil
	}
	b.leave()
	for range refusalsBeforeKill {
		s.c.callers.open(b.daemon.PacketAddr())
	}
	_ = wait.For(ctx, syncTime/50)
	call, cancel := context.WithTimeout(ctx, syncTime)
	defer cancel()
	err := b.daemon.Refusals().Sync(call)
	s.c.remove(b)
	b.kill()
	s.mu.Lock()
	s.killed = append(s.killed, b.name)
	s.mu.Unlock()
	s.printf("%s is killed (mirrored before: %v)", b.name, err == nil)
	return b
}

// victim returns the holder of the compile lease or another balancer that isn't the last of its region, or nil.
func (s *script) victim() *balancer {
	inRegion := make(map[string]int)
	for _, b := range s.c.live() {
		inRegion[b.region]++
	}
	var list []*balancer
	for _, b := range s.c.live() {
		if inRegion[b.region] > 1 {
			list = append(list, b)
		}
	}
	if len(list) == 0 {
		return nil
	}
	if b := s.holder(); slices.Contains(list, b) && s.pick(2) == 0 {
		return b
	}
	return list[s.pick(len(list))]
}

// holder returns the live balancer that holds the compile lease, or nil.
func (s *script) holder() *balancer {
	return s.c.holderOf(s.c.truth.holder())
}

func (c *cluster) holderOf(r lease.Record) *balancer {
	for _, b := range c.live() {
		if len(r.Holder) > len(b.name) && r.Holder[:len(b.name)+1] == b.name+"/" {
			return b
		}
	}
	return nil
}

func (s *script) leaseTime() time.Duration {
	if s.c.o.LeaseTime > 0 {
		return s.c.o.LeaseTime
	}
	return defaultLeaseTime
}

// defaultLeaseTime is the value in settings.DefaultBalancer.
const defaultLeaseTime = 3 * time.Second

func (s *script) pauseTime() time.Duration {
	return time.Duration(pauseFactor * float64(s.leaseTime()))
}

// pauseHolder delays all store calls of the holder of the compile lease beyond its lease.
func (s *script) pauseHolder(ctx context.Context) {
	s.pause(ctx, "", func(b *balancer) { b.gate.pause(s.pauseTime()) })
}

// pauseHolderAtHead delays the holder's next write of the head, and all calls after it, beyond its lease.
func (s *script) pauseHolderAtHead(ctx context.Context) {
	s.pause(ctx, " at its next write of the head", func(b *balancer) { b.gate.pauseAtHead(s.pauseTime()) })
}

func (s *script) pause(ctx context.Context, where string, hold func(*balancer)) {
	var b *balancer
	if s.c.await(startTimeout, func() bool { b = s.holder(); return b != nil }) != nil {
		return
	}
	before := s.c.truth.holder()
	s.printf("%s holds the lease of term %d; its calls hang for %s%s", b.name, before.Term, s.pauseTime(), where)
	hold(b)
	_ = wait.For(ctx, s.pauseTime()+s.leaseTime())
	after := s.c.truth.holder()
	s.printf("%s is back, %d writes went through late; term %d is held by %s", b.name, b.gate.held.Load(), after.Term, after.Holder)
}

// splitRegions partitions the regions. Meanwhile a target joins in one region and another leaves the other region.
func (s *script) splitRegions(ctx context.Context) {
	s.printf("the regions are partitioned")
	end := time.Now().Add(s.part(0.25))
	s.c.boundary.setCut(true)
	joined, err := s.c.addTarget(s.c.ctx)
	if err != nil {
		s.printf("no target joins: %v", err)
		return
	}
	s.split.joined = joined.id
	if left := s.c.removeTarget(joined.region); left != nil {
		s.split.left = left.id
		left.stop()
	}
	s.checkTargetAccepted(joined)
	_ = wait.For(ctx, time.Until(end))
	s.c.boundary.setCut(false)
	s.printf("the regions can reach each other again; meanwhile %s joined in %s and %s left the other", s.split.joined, joined.region, s.split.left)
}

// removeTarget removes a target that isn't in the given region from the list and returns it, or nil.
func (c *cluster) removeTarget(region string) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, t := range c.targets {
		if t.region != region {
			c.targets = append(c.targets[:i:i], c.targets[i+1:]...)
			return t
		}
	}
	return nil
}

// checkTargetAccepted checks that the balancers of a new target's region make it active during the partition.
func (s *script) checkTargetAccepted(t *target) {
	known := func() bool {
		for _, b := range s.c.live() {
			if m, _ := b.member(t.id); b.region == t.region && m.State != membership.StateActive {
				return false
			}
		}
		return true
	}
	if err := s.c.await(syncTime, known); err != nil {
		s.broken = append(s.broken, "during the partition, "+t.region+" doesn't activate its new target "+t.id)
	}
}
