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

// Times after the object API came back from an older copy in which a key without a claim may have been claimed before.
const (
	// restoreQuarantine is as long as a ticket may be submitted.
	restoreQuarantine = time.Minute
	// firstAttemptQuarantine is for submissions that their callers count as the first ones: a later one may have run while the first was under way, which
	// takes no longer than a deadline as a rule.
	firstAttemptQuarantine = 10 * time.Second
	// firstAttempt is the count of a submission before which the caller has made none.
	firstAttempt = 1
)

// errClaimsRestored refuses a key whose claim may be lost.
var errClaimsRestored = errors.New("the object API came back from an older copy, and the claim of this key may be lost")

// restoreGuard tells whether a key that has no claim was never claimed. It is safe for concurrent use.
type restoreGuard struct {
	store objectapi.Store
	eras  *objectapi.Eras
	now   func() time.Time

	mu sync.Mutex
	// era is the newest era whose start is known, since when the object API is in it; zero when nothing was lost at its start.
	era   uint64
	since time.Time
}

// check returns nil when a key without a claim was never claimed, as far as the era goes that it returns. An object API that names no era loses
// nothing.
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

// refreshEra reads since when the object API is in its era. The call also tells when there is a later one.
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
