package dsrd

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

const (
	// cleanupInterval is the time between two deletions of old refusal records; a process younger than that deletes
	// none, so that restarts cost no calls.
	cleanupInterval = time.Hour
	// cleanupLookback is how long before the end of the retention period records are looked for that nobody deleted;
	// each hour of it is one call at the first deletion of a process.
	cleanupLookback = 24 * time.Hour
)

// cleanUp deletes old refusal records from the object API while this balancer has the lowest address of the living
// ones. Two balancers that do so at once do no harm.
func (b *Balancer) cleanUp(ctx context.Context) error {
	r := refusal.Retention{Store: b.platform.Store, Lookback: cleanupLookback}
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !b.isFirst() {
			continue
		}
		n, err := r.Run(ctx, time.Now())
		if err != nil {
			b.log.Warn().Err(err).Str("op", "expire-refusals").Msg("old refusal records were not all deleted; retrying in an hour")
			continue
		}
		b.log.Info().Str("op", "expire-refusals").Int("deleted", n).Msg("old refusal records were deleted")
	}
}

// isFirst reports whether no living balancer has a lower address.
func (b *Balancer) isFirst() bool {
	for _, a := range b.living() {
		if a.Compare(b.self) < 0 {
			return false
		}
	}
	return true
}
