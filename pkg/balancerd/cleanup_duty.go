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
	// refusalsInterval is the time between two looks for refusal records that are too old.
	refusalsInterval = time.Hour
	// claimsInterval is the time between two looks for claims whose retention is over.
	claimsInterval = 10 * time.Minute
	// claimsLimit is the highest number of claims that one look deletes; within the call budget it takes under a minute.
	claimsLimit = 300
)

// cleanupDuty competes for the duty that deletes old objects. One lease serves all kinds, since each lease costs the
// object API renewals.
func (d *Daemon) cleanupDuty(ctx context.Context) error {
	r := d.leaseRunner(cleanupLease, func(membership.Member) bool { return true })
	return r.Run(ctx, d.cleanup)
}

// cleanup is a lease.Duty. Deleting twice does no harm, so its writes need no fence.
func (d *Daemon) cleanup(ctx context.Context, _ lease.Grant) error {
	retention := refusal.Retention{Store: d.store}
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error {
		return d.every(run, refusalsInterval, "expire-refusals", func(now time.Time) (int, error) {
			return retention.Run(run, now)
		})
	})
	g.Go(func() error {
		return d.every(run, claimsInterval, "sweep-claims", func(now time.Time) (int, error) {
			return request.SweepClaims(run, d.store, now, request.DefaultClaimRetention, claimsLimit)
		})
	})
	return g.Wait()
}

// every runs a clean-up at once and then at each interval until ctx ends, and logs what it deleted.
func (d *Daemon) every(ctx context.Context, interval time.Duration, op string, clean func(now time.Time) (int, error)) error {
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
