package dsrd

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Times of the lists of all balancers.
const (
	memberCheckInterval = 2 * time.Second
	// memberReadDelay is the time from the beginning of the watch for others to the first list: those that started
	// together have registered by then. memberReadInterval is the time between two lists.
	memberReadDelay    = 2 * joinSpread
	memberReadInterval = 30 * time.Second
)

// memberReader lists all balancers while this one watches the configuration for the others. Balancers whose settings
// name different ones, or that were cut off for long, meet through it; all other processes read at most a part of the
// list, once.
type memberReader struct {
	store objectapi.Store
	log   zerolog.Logger
	// watches reports whether this balancer watches for the others; found adds balancers.
	watches func() bool
	found   func([]netip.AddrPort)
	// next is the time of the next list.
	next time.Time
}

func (r *memberReader) run(ctx context.Context) error {
	return every(ctx, memberCheckInterval, func(now time.Time) {
		if r.due(now) {
			r.read(ctx)
		}
	})
}

// due reports whether the list is to be read now.
func (r *memberReader) due(now time.Time) bool {
	if !r.watches() {
		r.next = now.Add(memberReadDelay)
		return false
	}
	if now.Before(r.next) {
		return false
	}
	r.next = now.Add(memberReadInterval)
	return true
}

func (r *memberReader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, _, err := r.store.List(ctx, MemberKind)
	if err != nil {
		r.log.Warn().Err(err).Str("op", "read-members").Msg("the list of balancers cannot be read; trying again later")
		return
	}
	r.found(addressesOf(objects, r.log))
}
