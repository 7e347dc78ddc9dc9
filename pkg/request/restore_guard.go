package request

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Periods after a restore of the object API from an older copy in which a key without a claim may have been claimed
// before the restore.
const (
	// restoreQuarantine is the longest time for which a ticket may be submitted.
	restoreQuarantine = time.Minute
	// firstAttemptQuarantine applies to submissions that callers count as their first. A later submission may have run
	// while the first was in progress, which normally takes no longer than a deadline.
	firstAttemptQuarantine = 10 * time.Second
	// firstAttempt is the attempt number of a caller's first submission of a key.
	firstAttempt = 1
)

// errClaimsRestored refuses a key whose claim may have been lost in a restore.
var errClaimsRestored = errors.New("the object API came back from an older copy, and the claim of this key may be lost")

// restoreGuard decides whether a key without a claim was never claimed, or may have lost its claim in a restore of the
// object API. It is safe for concurrent use.
type restoreGuard struct {
	store objectapi.Store
	eras  *objectapi.Eras
	now   func() time.Time

	mu sync.Mutex
	// era is the newest era whose start is known, and since its start; since is zero when nothing was lost at that
	// start.
	era   uint64
	since time.Time
}

// check returns the era in which a key without a claim is known never to have been claimed, or an error when its claim
// may have been lost. The era is 0 for an object API that names none, which never loses claims.
func (a *restoreGuard) check(ctx context.Context, attempt uint64) (uint64, error) {
	if a.eras.Newest() == 0 {
		return 0, nil
	}
	if err := a.refreshEra(ctx); err != nil {
		return 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if newest := a.eras.Newest(); newest != a.era {
		return 0, trace.Wrap(errClaimsRestored, "the start of era %d is not known yet", newest)
	}
	wait := restoreQuarantine
	if attempt == firstAttempt {
		wait = firstAttemptQuarantine
	}
	if !a.since.IsZero() && a.now().Before(a.since.Add(wait)) {
		return 0, errClaimsRestored
	}
	return a.era, nil
}

// refreshEra reads the start of the object API's era. As a side effect, the call shows whether there is a later era.
func (a *restoreGuard) refreshEra(ctx context.Context) error {
	stored, err := objectapi.GetTyped[resource.Era](ctx, a.store, resource.KindEra, resource.EraName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err, "read the era")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e := stored.Value
	if e.Era >= a.era && e.Era >= objectapi.EraOf(stored.Version) {
		a.era, a.since = e.Era, e.Since
	}
	return nil
}
