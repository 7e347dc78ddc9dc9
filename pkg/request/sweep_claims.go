package request

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// DefaultClaimRetention is how long after the expiry of its ticket a claim is kept. A key that is submitted again after
// that runs again.
const DefaultClaimRetention = 24 * time.Hour

// SweepClaims deletes up to limit claims that are malformed or past their retention, and returns their number. Run it
// as a duty under a lease, with a limit that fits the object API's write rate; concurrent runs do no harm.
func SweepClaims(ctx context.Context, store objectapi.Store, now time.Time, retention time.Duration, limit int) (int, error) {
	objects, _, err := store.List(ctx, resource.KindClaim)
	if err != nil {
		return 0, trace.Wrap(err, "list claims")
	}
	deleted := 0
	for _, o := range objects {
		if deleted == limit {
			break
		}
		c, err := decodeClaim(o)
		if err == nil && now.Before(c.ticket.Expiry.Add(retention)) {
			continue
		}
		err = store.Delete(ctx, resource.KindClaim, o.Name, o.Version)
		if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
			continue
		}
		if err != nil {
			return deleted, trace.Wrap(err, "delete claim %s", o.Name)
		}
		deleted++
	}
	return deleted, nil
}
