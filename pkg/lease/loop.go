package lease

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// loop is the state of one call of Runner.Run.
type loop struct {
	runner  *Runner
	clock   Clock
	state   *State
	duty    Duty
	group   *errgroup.Group
	metrics metrics
	active  *term
	// lastDone is closed when the most recently started duty has ended; nil before the first.
	lastDone <-chan struct{}
}

func newLoop(r *Runner, d Duty) *loop {
	return &loop{
		runner:  r,
		clock:   r.clock(),
		state:   NewState(r.Config),
		duty:    d,
		group:   &errgroup.Group{},
		metrics: newMetrics(r.Metrics, r.Config.Name),
	}
}

func (l *loop) run(ctx context.Context) {
	var o Observation
	for ctx.Err() == nil {
		if l.idle() {
			_ = l.clock.Sleep(ctx, l.runner.Config.pollInterval())
			continue
		}
		a := l.state.Step(l.clock.Now(), o)
		l.updateDuty(ctx)
		o = l.perform(ctx, a)
	}
}

// idle reports whether this process is not a candidate and has no lease or pending write to release.
func (l *loop) idle() bool {
	return !l.state.held && l.state.pending == nil && !l.runner.eligible()
}

func (l *loop) perform(ctx context.Context, a Action) Observation {
	if a.Kind == ActionWait {
		_ = l.clock.Sleep(ctx, a.At.Sub(l.clock.Now()))
		return Observation{}
	}
	call, cancel := context.WithTimeout(ctx, l.runner.callTimeout())
	defer cancel()
	return l.runner.execute(call, a)
}

// updateDuty starts, extends or ends the duty after a step.
func (l *loop) updateDuty(ctx context.Context) {
	number, held := l.state.Term(l.clock.Now())
	if l.active != nil && (!held || l.active.grant.Term != number || l.active.isCancelled()) {
		l.end("expired")
	}
	if !held {
		return
	}
	if l.active == nil {
		l.begin(ctx, Grant{Holder: l.runner.Config.Holder, Term: number})
	}
	l.active.extend(l.state.Until())
}

func (l *loop) begin(ctx context.Context, g Grant) {
	l.log("acquired", g)
	l.metrics.begun.Inc(1)
	l.metrics.held.Update(1)
	l.metrics.term.Update(float64(g.Term))
	t := newTerm(ctx, l.clock, g, l.state.Until())
	before := l.lastDone
	l.active = t
	l.lastDone = t.done
	l.group.Go(func() error { return t.watch() })
	l.group.Go(func() error { return t.run(l, before) })
}

func (l *loop) end(reason string) {
	if l.active == nil {
		return
	}
	l.log(reason, l.active.grant)
	l.metrics.ended.Inc(1)
	l.metrics.held.Update(0)
	l.active.cancel()
	l.active = nil
}

// stop ends the duty and waits for it.
func (l *loop) stop() {
	l.end("stopped")
	_ = l.group.Wait()
}

// release releases the lease after the duty has ended, so that others need not wait for it to expire.
func (l *loop) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.runner.callTimeout())
	defer cancel()
	l.state.Release()
	var o Observation
	for ctx.Err() == nil {
		a := l.state.Step(l.clock.Now(), o)
		if l.state.Released() {
			return
		}
		o = l.perform(ctx, a)
	}
}

func (l *loop) log(reason string, g Grant) {
	l.runner.Log.Info().Str("op", "lease").Str("lease", l.runner.Config.Name).Str("reason", reason).
		Str("holder", g.Holder).Uint64("term", g.Term).Time("until", l.state.Until().Round(time.Millisecond)).Send()
}
