package lease

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// loop is one call of Runner.Run.
type loop struct {
	runner  *Runner
	clock   Clock
	state   *State
	duty    Duty
	group   *errgroup.Group
	metrics metrics
	active  *term
	// last is closed when the duty that was begun last has ended; nil before the first.
	last <-chan struct{}
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
			_ = l.clock.Sleep(ctx, l.runner.Config.pollEvery())
			continue
		}
		a := l.state.Step(l.clock.Now(), o)
		l.follow(ctx)
		o = l.act(ctx, a)
	}
}

// idle reports whether this process is no candidate and has nothing to give back.
func (l *loop) idle() bool {
	return !l.state.held && l.state.pending == nil && !l.runner.eligible()
}

func (l *loop) act(ctx context.Context, a Action) Observation {
	if a.Kind == ActionWait {
		_ = l.clock.Sleep(ctx, a.At.Sub(l.clock.Now()))
		return Observation{}
	}
	call, cancel := context.WithTimeout(ctx, l.runner.callTimeout())
	defer cancel()
	return l.runner.observe(call, a)
}

// follow starts or ends the duty after a step.
func (l *loop) follow(ctx context.Context) {
	number, held := l.state.Term(l.clock.Now())
	if l.active != nil && (!held || l.active.grant.Term != number || l.active.over()) {
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
	before := l.last
	l.active = t
	l.last = t.done
	l.group.Go(func() error { return t.watch() })
	l.group.Go(func() error { return t.work(l, before) })
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

// giveBack releases the lease once the duty has ended, so that others need not wait for the duration.
func (l *loop) giveBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.runner.callTimeout())
	defer cancel()
	l.state.Release()
	var o Observation
	for ctx.Err() == nil {
		a := l.state.Step(l.clock.Now(), o)
		if l.state.Released() {
			return
		}
		o = l.act(ctx, a)
	}
}

func (l *loop) log(reason string, g Grant) {
	l.runner.Log.Info().Str("op", "lease").Str("lease", l.runner.Config.Name).Str("reason", reason).
		Str("holder", g.Holder).Uint64("term", g.Term).Time("until", l.state.Until().Round(time.Millisecond)).Send()
}
