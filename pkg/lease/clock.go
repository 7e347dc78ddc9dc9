package lease

import (
	"context"
	"time"
)

// Clock is the local monotonic clock, replaceable in tests.
type Clock interface {
	Now() time.Time
	// Sleep returns nil after d, or the error of ctx when that ends first.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

func (SystemClock) Now() time.Time { return time.Now() }

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
