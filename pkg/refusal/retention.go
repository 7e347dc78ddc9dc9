package refusal

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Default settings of a Retention.
const (
	DefaultKeep       = 14 * 24 * time.Hour
	DefaultLookback   = 7 * 24 * time.Hour
	DefaultMaxDeletes = 200
)

// Retention deletes batches older than Keep. It is a duty for one process; concurrent runs by two processes do no harm.
// It is not safe for concurrent use.
type Retention struct {
	// Store holds the batches.
	Store objectapi.Store
	// Keep is how long batches are kept; 0 means DefaultKeep.
	Keep time.Duration
	// Lookback is how far before that the first run looks for remaining batches; 0 means DefaultLookback.
	Lookback time.Duration
	// MaxDeletes bounds the deletes of one run; 0 means DefaultMaxDeletes.
	MaxDeletes int

	// next is the first hour that may still hold batches.
	next time.Time
}

// Run deletes batches whose hour ended at least Keep before now, oldest first, and returns how many. After a run that
// reaches MaxDeletes or fails, the next run continues from there.
func (r *Retention) Run(ctx context.Context, now time.Time) (int, error) {
	r.defaults()
	limit := bucketOf(now.Add(-r.Keep))
	if r.next.IsZero() {
		r.next = bucketOf(limit.Add(-r.Lookback))
	}
	deleted := 0
	for r.next.Before(limit) {
		n, empty, err := r.deleteBatches(ctx, KindAt(r.next), r.MaxDeletes-deleted)
		deleted += n
		if err != nil {
			return deleted, trace.Wrap(err, "op=expire-refusals hour=%s", r.next.Format(time.RFC3339))
		}
		if !empty {
			return deleted, nil
		}
		r.next = r.next.Add(bucket)
	}
	return deleted, nil
}

// deleteBatches deletes up to limit batches of a kind and reports whether none is left.
func (r *Retention) deleteBatches(ctx context.Context, kind objectapi.Kind, limit int) (int, bool, error) {
	objects, _, err := r.Store.List(ctx, kind)
	if err != nil {
		return 0, false, err
	}
	for n, o := range objects {
		if n == limit {
			return n, false, nil
		}
		err := r.Store.Delete(ctx, kind, o.Name, o.Version)
		if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return n, false, err
		}
	}
	return len(objects), true, nil
}

func (r *Retention) defaults() {
	if r.Keep == 0 {
		r.Keep = DefaultKeep
	}
	if r.Lookback == 0 {
		r.Lookback = DefaultLookback
	}
	if r.MaxDeletes == 0 {
		r.MaxDeletes = DefaultMaxDeletes
	}
}
