package lease

import (
	"context"
	"errors"
	"sync"
	"time"
)

// term is a duty that runs under a grant. Its context ends with the validity, even while a store call hangs.
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

func (t *term) left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until.Sub(t.clock.Now())
}

// watch cancels the duty at the end of the validity.
func (t *term) watch() error {
	defer t.cancel()
	for t.ctx.Err() == nil {
		d := t.left()
		if d <= 0 {
			return nil
		}
		_ = t.clock.Sleep(t.ctx, d)
	}
	return nil
}

// over reports whether the duty was told to end: a renewal may succeed just after the validity has ended.
func (t *term) over() bool { return t.ctx.Err() != nil }

// work waits until the duty begun before has ended, and then runs the duty, and again after a failure, until the term
// ends.
func (t *term) work(l *loop, before <-chan struct{}) error {
	defer close(t.done)
	if before != nil {
		<-before
	}
	for t.ctx.Err() == nil {
		t.once(l)
		_ = t.clock.Sleep(t.ctx, l.runner.Config.retryAfter())
	}
	return nil
}

func (t *term) once(l *loop) {
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
