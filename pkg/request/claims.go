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
	// claimTimeout bounds the object API calls of one claim operation.
	claimTimeout = 500 * time.Millisecond
	// claimReadBacks bounds the reads after a create or update with a conflict or an unknown outcome.
	claimReadBacks = 3
	// eraChecks bounds the attempts to make a claim in a known era; an agent learns of a new era only from the response
	// to a call.
	eraChecks = 2
)

var (
	errNoStore        = errors.New("no object API is configured")
	errClaimRate      = errors.New("the agent's share of the object API's writes is used up")
	errClaimMalformed = errors.New("the stored claim is malformed")
)

// claims binds callers' keys to tickets by create-if-absent, so that every agent finds the same ticket for a key.
type claims struct {
	store        objectapi.Store
	restoreGuard *restoreGuard
	writeLimiter *rate.Limiter
	service      string
	now          func() time.Time
}

func newClaims(o Options) *claims {
	writeLimiter := rate.NewLimiter(rate.Limit(o.ClaimRate), o.ClaimBurst)
	restoreGuard := &restoreGuard{store: o.Store, eras: o.Eras, now: o.Now}
	return &claims{store: o.Store, restoreGuard: restoreGuard, writeLimiter: writeLimiter, service: o.Service, now: o.Now}
}

// name returns the object name of a key, a hash: keys are arbitrary text from callers and scoped to one service.
func (c *claims) name(key string) string {
	sum := sha256.Sum256([]byte(c.service + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// claim binds the key to the offered ticket unless it is bound already, and returns the stored claim. After an error
// the offered claim may be stored, so its ticket must be cancelled.
func (c *claims) claim(ctx context.Context, name string, offered claim) (claim, error) {
	ctx, cancel, err := c.beginWrite(ctx)
	if err != nil {
		return claim{}, err
	}
	defer cancel()
	for range eraChecks {
		era, err := c.restoreGuard.check(ctx, offered.attempt)
		if err != nil {
			return c.find(ctx, name, err)
		}
		held, err := c.create(ctx, name, offered)
		if err != nil || held.ticket != offered.ticket || objectapi.EraOf(held.object.Version) == era {
			return held, err
		}
		// The claim was stored in a later era than the one checked, so an earlier claim may be missing.
		if err := c.store.Delete(ctx, resource.KindClaim, name, held.object.Version); err != nil {
			return claim{}, trace.NewAggregate(errClaimsRestored, err)
		}
	}
	return claim{}, errClaimsRestored
}

// create stores the claim unless one exists, and returns the stored claim.
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

// find returns the stored claim; if there is none, it returns cause, the reason why none may be created.
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

// replace binds the key to another ticket if the stored claim is still old. The caller must have made sure that the old
// ticket never runs.
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

// readBack reads the stored claim after a conflict or an unknown outcome. When there is none, it creates the claim
// again, which is safe: create either stores this same claim or nothing.
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
