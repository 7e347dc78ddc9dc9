package balancerd

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/request"
)

const (
	claimsLease = "claims"
	// claimsInterval is the time between two looks for claims whose retention is over.
	claimsInterval = 10 * time.Minute
	// claimsLimit is the highest number of claims that one look deletes; within the call budget it takes under a minute.
	claimsLimit = 300
)

// claimsDuty competes for the duty that deletes old claims of idempotency keys.
func (d *Daemon) claimsDuty(ctx context.Context) error {
	r := d.leaseRunner(claimsLease, func(membership.Member) bool { return true })
	return r.Run(ctx, d.sweepClaims)
}

// sweepClaims is a lease.Duty. Deleting twice does no harm, so its writes need no fence.
func (d *Daemon) sweepClaims(ctx context.Context, _ lease.Grant) error {
	return d.every(ctx, claimsInterval, "sweep-claims", func(now time.Time) (int, error) {
		return request.SweepClaims(ctx, d.store, now, request.DefaultClaimRetention, claimsLimit)
	})
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
