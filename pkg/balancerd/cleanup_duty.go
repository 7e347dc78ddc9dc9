package balancerd

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/request"
)

const (
	cleanupLease = "cleanup"
	// refusalSweepInterval is the time between two deletions of expired refusal records.
	refusalSweepInterval = time.Hour
	// claimSweepInterval is the time between two deletions of expired claims.
	claimSweepInterval = 10 * time.Minute
	// maxSweptClaims is the highest number of claims that one sweep deletes, so that a sweep takes under a minute within
	// the call budget.
	maxSweptClaims = 300
)

// cleanupDuty competes for the duty of deleting expired objects. One lease covers all kinds, since each lease costs
// renewals at the object API.
func (d *Daemon) cleanupDuty(ctx context.Context) error {
	r := d.leaseRunner(cleanupLease, func(membership.Member) bool { return true })
	return r.Run(ctx, d.cleanup)
}

// cleanup is a lease.Duty. Deletions are idempotent, so they need no fencing.
func (d *Daemon) cleanup(ctx context.Context, _ lease.Grant) error {
	retention := refusal.Retention{Store: d.store}
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error {
		return d.runEvery(run, refusalSweepInterval, "expire-refusals", func(now time.Time) (int, error) {
			return retention.Run(run, now)
		})
	})
	g.Go(func() error {
		return d.runEvery(run, claimSweepInterval, "sweep-claims", func(now time.Time) (int, error) {
			return request.SweepClaims(run, d.store, now, request.DefaultClaimRetention, maxSweptClaims)
		})
	})
	return g.Wait()
}

// runEvery calls clean immediately and then at each interval until ctx ends, and logs the number of deleted objects.
func (d *Daemon) runEvery(ctx context.Context, interval time.Duration, op string, clean func(now time.Time) (int, error)) error {
	for ctx.Err() == nil {
		n, err := clean(time.Now())
		if err != nil {
			d.o.Env.Log.Warn().Err(err).Str("op", op).Send()
		}
		if n > 0 {
			d.o.Env.Log.Info().Str("op", op).Int("objects", n).Send()
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return nil
}
