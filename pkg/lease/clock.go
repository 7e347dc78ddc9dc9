package lease

import (
	"context"
	"time"
)

// Clock is the local monotonic clock. Tests pass their own.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep returns after d, or earlier with the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
