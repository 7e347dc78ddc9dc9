// Package wait waits for a time or the end of a context, whichever comes first.
package wait

import (
	"context"
	"time"
)

// For waits for d. The error is that of the context when it ends first, or had ended before; a time of 0 or less does not wait.
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
