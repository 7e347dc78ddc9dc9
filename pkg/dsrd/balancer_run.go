package dsrd

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Times of a balancer's start and end.
const (
	// readyWithoutAgents is how long a balancer that has its configuration waits for the first agent until it reports
	// itself as ready: two announcements.
	readyWithoutAgents = 600 * time.Millisecond
	// minRotationTime is how long packets may still arrive at a balancer that reports itself as not ready: two missed
	// checks at two a second, and the time that a flow takes to move.
	minRotationTime = 1800 * time.Millisecond
	// drainIdleTime without a packet of an open flow ends a balancer that leaves the rotation.
	drainIdleTime = 400 * time.Millisecond
	// stopMargin is reserved from the grace time for the end of the process.
	stopMargin = 800 * time.Millisecond
)

// Run runs the balancer. When ctx ends it leaves the rotation, forwards until its flows have moved, and returns.
func (b *Balancer) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(b.runCtx)
	defer b.cancel()
	defer b.logTotals()
	g.Go(func() error { return b.packets.read(run, b.fromCaller) })
	g.Go(func() error { return b.messages.read(run, b.fromDaemon) })
	g.Go(func() error { return b.alarm.run(run, b.tick) })
	g.Go(func() error { return b.configSync.run(run) })
	g.Go(func() error { return b.evacuationReader.run(run) })
	g.Go(func() error { return b.serveBalancers(run) })
	g.Go(func() error { return every(run, sendInterval, b.gossip) })
	g.Go(func() error { return b.discovery.run(run) })
	g.Go(func() error { return b.join(run) })
	g.Go(func() error { return b.memberReader.run(run) })
	g.Go(func() error { return b.serviceStatusWriter.run(run) })
	if !b.cfg.FirstStart {
		g.Go(func() error { return b.directoryReader.run(run) })
	}
	g.Go(func() error { return b.directoryWriter.run(run) })
	g.Go(func() error { return objectapi.LogEras(run, b.eras, b.log) })
	g.Go(func() error { return b.refusals.Run(run) })
	g.Go(func() error { return b.cleanUp(run) })
	g.Go(func() error { return serveHTTP(run, b.cfg.ReadyAddress, b.platform.ReadyHandler(b.ready)) })
	if b.cfg.ControlAddress != "" {
		g.Go(func() error { return serveHTTP(run, b.cfg.ControlAddress, b.platform.TargetHandler(noTargets{})) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			b.drain(run)
		case <-run.Done():
		}
		b.cancel()
		return nil
	})
	err := g.Wait()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err, "running the balancer")
}

// drain reports the balancer as not ready, waits until the routers send the flows elsewhere, and writes the remaining
// refusal records.
func (b *Balancer) drain(ctx context.Context) {
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	began := time.Now()
	end := began.Add(b.cfg.GraceTime.Duration() - stopMargin)
	for time.Now().Before(end) {
		if wait.For(ctx, drainIdleTime/4) != nil {
			return
		}
		b.mu.Lock()
		open := b.core.OpenFlows(time.Now(), drainIdleTime)
		b.mu.Unlock()
		if open == 0 && time.Since(began) >= minRotationTime {
			break
		}
	}
	b.drainRefusals(ctx, end)
}

// drainRefusals writes the remaining refusal records, as far as the grace time allows.
func (b *Balancer) drainRefusals(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := b.refusals.Drain(ctx); err != nil {
		b.log.Warn().Err(err).Str("op", "stop").Msg("refusal records were not written to the object API; this log has them")
	}
}

// ready returns why the balancer cannot serve, or nil.
func (b *Balancer) ready() error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping {
		return errors.New("stopping")
	}
	if b.core.Routes() == nil {
		return errors.New("no configuration yet")
	}
	// Callers of an isolated balancer are better served by another.
	if now.Sub(b.core.LastSeen()) > dispatch.IsolatedAfter && now.Sub(b.started) >= readyWithoutAgents {
		return errors.New("no agent is reachable")
	}
	if _, ready := b.core.Agents(now); ready == 0 && now.Sub(b.started) < readyWithoutAgents {
		return errors.New("no agent is ready yet")
	}
	return nil
}
