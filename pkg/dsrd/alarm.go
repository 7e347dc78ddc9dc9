package dsrd

import (
	"context"
	"time"
)

// alarm is a timer that calls a function at a time that can be brought forward.
type alarm struct {
	wake chan struct{}
	next time.Time
}

func newAlarm() *alarm {
	return &alarm{wake: make(chan struct{}, 1)}
}

// schedule makes the alarm fire at t or earlier. The caller holds the daemon's lock.
func (a *alarm) schedule(t time.Time) {
	if !a.next.IsZero() && !t.Before(a.next) {
		return
	}
	a.next = t
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run calls tick until the context ends; tick takes the daemon's lock, sets next and returns it.
func (a *alarm) run(ctx context.Context, tick func() time.Time) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-a.wake:
		}
		timer.Reset(time.Until(tick()))
	}
}
