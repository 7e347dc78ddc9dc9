// Package wait sleeps until a duration has passed or a context has ended.
package wait

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, in which case it returns ctx.Err(). It does not wait when d is 0 or less or ctx has
// already ended.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
