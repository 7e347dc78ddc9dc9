package lease

import (
	"context"
	"errors"
	"sync"
	"time"
)

// term is a duty that runs under a grant. Its context ends with the validity, even while a store call blocks.
type term struct {
	grant  Grant
	clock  Clock
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the duty has ended.
	done chan struct{}

	mu    sync.Mutex
	until time.Time
}

func newTerm(ctx context.Context, c Clock, g Grant, until time.Time) *term {
	ctx, cancel := context.WithCancel(ctx)
	return &term{grant: g, clock: c, ctx: ctx, cancel: cancel, done: make(chan struct{}), until: until}
}

func (t *term) extend(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = until
}

func (t *term) remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until.Sub(t.clock.Now())
}

// watch cancels the duty at the end of the validity.
func (t *term) watch() error {
	defer t.cancel()
	for t.ctx.Err() == nil {
		d := t.remaining()
		if d <= 0 {
			return nil
		}
		_ = t.clock.Sleep(t.ctx, d)
	}
	return nil
}

// isCancelled reports whether the duty has been cancelled: a renewal may succeed just after the validity has ended.
func (t *term) isCancelled() bool { return t.ctx.Err() != nil }

// run waits until the previous duty has ended and then runs the duty until the term ends, again whenever it returns
// before that.
func (t *term) run(l *loop, before <-chan struct{}) error {
	defer close(t.done)
	if before != nil {
		<-before
	}
	for t.ctx.Err() == nil {
		t.runDuty(l)
		_ = t.clock.Sleep(t.ctx, l.runner.Config.retryDelay())
	}
	return nil
}

func (t *term) runDuty(l *loop) {
	err := l.duty(t.ctx, t.grant)
	if errors.Is(err, ErrFenced) {
		t.cancel()
	}
	if err == nil || t.ctx.Err() != nil {
		return
	}
	l.metrics.failed.Inc(1)
	l.runner.Log.Warn().Err(err).Str("op", "duty").Str("lease", l.runner.Config.Name).Uint64("term", t.grant.Term).Send()
}
