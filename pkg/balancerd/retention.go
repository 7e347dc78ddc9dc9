package balancerd

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

const (
	retentionLease = "retention"
	// retentionInterval is the time between two looks for refusal records that are too old.
	retentionInterval = time.Hour
)

// retentionDuty competes for the duty that deletes old refusal records.
func (d *Daemon) retentionDuty(ctx context.Context) error {
	r := d.leaseRunner(retentionLease, func(membership.Member) bool { return true })
	return r.Run(ctx, d.expireRefusals)
}

// expireRefusals is a lease.Duty. Deleting twice does no harm, so its writes need no fence.
func (d *Daemon) expireRefusals(ctx context.Context, _ lease.Grant) error {
	retention := refusal.Retention{Store: d.store}
	return d.every(ctx, retentionInterval, "expire-refusals", func(now time.Time) (int, error) {
		return retention.Run(ctx, now)
	})
}
