package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

const (
	// claimTimeout bounds one call of the object API for a claim.
	claimTimeout = 500 * time.Millisecond
	// claimReadBacks bounds the reads after a lost answer.
	claimReadBacks = 3
	// eraChecks bounds the tries to make a claim in a known era; an agent learns of the era by its first call.
	eraChecks = 2
)

// Errors of a claim.
var (
	errNoStore        = errors.New("no object API is configured")
	errClaimRate      = errors.New("the agent's share of the object API's writes is used up")
	errClaimMalformed = errors.New("the stored claim is malformed")
)

// claims binds callers' keys to tickets by create-if-absent, so that every agent finds the one ticket of a key.
type claims struct {
	store        objectapi.Store
	guard        *restoreGuard
	writeLimiter *rate.Limiter
	service      string
	now          func() time.Time
}

func newClaims(o Options) *claims {
	writeLimiter := rate.NewLimiter(rate.Limit(o.ClaimRate), o.ClaimBurst)
	guard := &restoreGuard{store: o.Store, eras: o.Eras, now: o.Now}
	return &claims{store: o.Store, guard: guard, writeLimiter: writeLimiter, service: o.Service, now: o.Now}
}

// name returns the object name of a key: keys are the callers' own text, and of one service.
func (c *claims) name(key string) string {
	sum := sha256.Sum256([]byte(c.service + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// claim binds the key to the offered ticket unless it is bound already, and returns the stored claim. After an error
// the offered ticket may be stored; it must be cancelled.
func (c *claims) claim(ctx context.Context, name string, offered claim) (claim, error) {
	ctx, cancel, err := c.beginWrite(ctx)
	if err != nil {
		return claim{}, err
	}
	defer cancel()
	for range eraChecks {
		era, err := c.guard.check(ctx, offered.attempt)
		if err != nil {
			return c.find(ctx, name, err)
		}
		held, err := c.create(ctx, name, offered)
		if err != nil || held.ticket != offered.ticket || objectapi.EraOf(held.object.Version) == era {
			return held, err
		}
		// The era is later than the one that was asked about, so that the claim proves nothing.
		if err := c.store.Delete(ctx, resource.KindClaim, name, held.object.Version); err != nil {
			return claim{}, trace.NewAggregate(errClaimsRestored, err)
		}
	}
	return claim{}, errClaimsRestored
}

// create stores the claim unless there is one, and returns the stored one.
func (c *claims) create(ctx context.Context, name string, offered claim) (claim, error) {
	o, err := c.store.Create(ctx, resource.KindClaim, name, offered.encode())
	switch {
	case err == nil:
		offered.object = o
		return offered, nil
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrOutcomeUnknown):
		return c.readBack(ctx, name, offered)
	}
	return claim{}, trace.Wrap(err, "create claim")
}

// find returns the stored claim, or the cause for which none may be created.
func (c *claims) find(ctx context.Context, name string, cause error) (claim, error) {
	o, err := c.store.Get(ctx, resource.KindClaim, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return claim{}, cause
	}
	if err != nil {
		return claim{}, trace.NewAggregate(cause, err)
	}
	return decodeClaim(o)
}

// replace binds the key to another ticket, if the stored claim is still the given one. The caller has made sure that the
// stored ticket never runs.
func (c *claims) replace(ctx context.Context, old, offered claim) (claim, error) {
	ctx, cancel, err := c.beginWrite(ctx)
	if err != nil {
		return claim{}, err
	}
	defer cancel()
	next := old.object
	next.Value = offered.encode()
	o, err := c.store.Update(ctx, next)
	switch {
	case err == nil:
		offered.object = o
		return offered, nil
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrOutcomeUnknown):
		return c.readBack(ctx, old.object.Name, offered)
	}
	return claim{}, trace.Wrap(err, "replace claim")
}

func (c *claims) beginWrite(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if c.store == nil {
		return nil, nil, errNoStore
	}
	if !c.writeLimiter.AllowN(c.now(), 1) {
		return nil, nil, errClaimRate
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	return ctx, cancel, nil
}

// readBack reads which ticket is stored. When no claim is found it is written again, which is safe: it creates the same
// claim or none.
func (c *claims) readBack(ctx context.Context, name string, offered claim) (claim, error) {
	var err error
	for range claimReadBacks {
		var o objectapi.Object
		o, err = c.store.Get(ctx, resource.KindClaim, name)
		if err == nil {
			return decodeClaim(o)
		}
		if errors.Is(err, objectapi.ErrNotFound) {
			o, err = c.store.Create(ctx, resource.KindClaim, name, offered.encode())
			if err == nil {
				offered.object = o
				return offered, nil
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return claim{}, trace.Wrap(err, "read claim back")
}
