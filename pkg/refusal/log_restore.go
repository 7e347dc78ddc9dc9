package refusal

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// rewriteNextLost writes one object again that the object API has lost, no sooner than nextRewrite: the jitter spreads
// the writes of many processes that detect a loss at the same moment.
func (l *Log) rewriteNextLost(ctx context.Context) {
	o, found := l.lostObject()
	if !found {
		return
	}
	now := l.cfg.Now()
	if l.nextRewrite.IsZero() {
		l.nextRewrite = now.Add(l.pacer.jitter(l.cfg.MinInterval))
	}
	if now.Before(l.nextRewrite) {
		return
	}
	l.nextRewrite = now.Add(l.pacer.jitter(l.cfg.MinInterval))
	_ = l.rewriteLost(ctx, o) // Logged; retried at nextRewrite.
}

// rewriteAllLost writes all objects again that the object API has lost.
func (l *Log) rewriteAllLost(ctx context.Context) error {
	for {
		o, found := l.lostObject()
		if !found {
			return nil
		}
		if err := l.rewriteLost(ctx, o); err != nil {
			return err
		}
	}
}

// lostObject returns a recent object that the object API may have lost in a restore from an older copy.
func (l *Log) lostObject() (objectapi.Object, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent.lost(l.cfg.Eras.Newest())
}

// rewriteLost creates an object again, or finds that the object API still has it.
func (l *Log) rewriteLost(ctx context.Context, o objectapi.Object) error {
	stored, err := l.store(ctx, o)
	if err != nil {
		l.cfg.Logger.Warn().Err(err).Str("op", "write-refusals").Str("name", o.Name).
			Msg("rewriting refusal records possibly lost by the object API failed; will retry")
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.stored(stored)
	l.cfg.Logger.Info().Str("op", "write-refusals").Str("name", o.Name).Int("bytes", len(o.Value)).
		Msg("refusal records are in the object API again")
	return nil
}
