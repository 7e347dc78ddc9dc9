package refusal

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// writeLostInTurn writes one of the objects again that the object API has lost, when it is this process's turn: many processes learn of a loss at
// one moment.
func (l *Log) writeLostInTurn(ctx context.Context) {
	o, found := l.lostObject()
	if !found {
		return
	}
	now := l.cfg.Now()
	if l.lostTurn.IsZero() {
		l.lostTurn = now.Add(l.pace.jitter(l.cfg.MinInterval))
	}
	if now.Before(l.lostTurn) {
		return
	}
	l.lostTurn = now.Add(l.pace.jitter(l.cfg.MinInterval))
	_ = l.writeLost(ctx, o) // Logged; its next turn comes.
}

// writeAllLost writes all objects again that the object API has lost.
func (l *Log) writeAllLost(ctx context.Context) error {
	for {
		o, found := l.lostObject()
		if !found {
			return nil
		}
		if err := l.writeLost(ctx, o); err != nil {
			return err
		}
	}
}

// lostObject returns a recent object that the object API may have lost when it came back from an older copy.
func (l *Log) lostObject() (objectapi.Object, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent.lost(l.cfg.Eras.Newest())
}

// writeLost creates an object again, or finds that the API still has it.
func (l *Log) writeLost(ctx context.Context, o objectapi.Object) error {
	stored, err := l.store(ctx, o)
	if err != nil {
		l.cfg.Logger.Warn().Err(err).Str("op", "write-refusals").Str("name", o.Name).
			Msg("refusal records that the object API may have lost were not written again, kept")
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.stored(stored)
	l.cfg.Logger.Info().Str("op", "write-refusals").Str("name", o.Name).Int("bytes", len(o.Value)).
		Msg("refusal records are in the object API again")
	return nil
}
