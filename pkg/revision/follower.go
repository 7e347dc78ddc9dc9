package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Defaults of a Follower.
const (
	// DefaultPeerInterval is the time between two queries of the peers.
	DefaultPeerInterval = 500 * time.Millisecond
	// followRetry is the delay after a failed call to the store.
	followRetry = 250 * time.Millisecond
)

// Follower keeps an Adopter at the highest accepted revision, from the head and from peers concurrently.
type Follower struct {
	// Store holds the head and the revisions.
	Store objectapi.Store
	// Peers queries other balancers; nil means that there are none.
	Peers Peers
	// Adopter is offered the revisions.
	Adopter *Adopter
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// PeerInterval is the time between two queries of the peers; 0 means DefaultPeerInterval.
	PeerInterval time.Duration
	// MinPeers is the minimum number of peers that must answer before the first revision is adopted from them; 0 means 1.
	// It keeps a restarted process from starting with an older revision than its peers hold.
	MinPeers int
	// Log records failures.
	Log zerolog.Logger
}

// Run follows the head and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.followHead(ctx) })
	if f.Peers != nil {
		g.Go(func() error { return f.followPeers(ctx) })
	}
	return g.Wait()
}

// followHead reads the head, watches it for changes, and reads it again when a watch ends without one, so that a missed
// event delays a revision by at most one watch.
func (f *Follower) followHead(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.watchHead(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.Adopter.RecordMissing(SourceHead, err.Error())
		f.Log.Debug().Err(err).Str("op", "follow-head").Send()
		_ = f.clock().Sleep(ctx, followRetry)
	}
	return ctx.Err()
}

func (f *Follower) watchHead(ctx context.Context) error {
	list, from, err := f.Store.List(ctx, resource.KindHead)
	if err != nil {
		return trace.Wrap(err, "list head")
	}
	switch {
	case len(list) > 0:
	case objectapi.EraOf(from) == 0:
		f.Adopter.Offer(resource.Revision{}, SourceHead)
	default:
		f.Adopter.RecordMissing(SourceHead, errNoHeadOfEra.Error())
	}
	for _, o := range list {
		if err := f.adoptHead(ctx, o); err != nil {
			return err
		}
	}
	return f.watchChanges(ctx, from)
}

// watchChanges adopts changes of the head until a watch returns none or has expired.
func (f *Follower) watchChanges(ctx context.Context, from uint64) error {
	for {
		events, next, err := f.Store.Watch(ctx, resource.KindHead, from)
		if errors.Is(err, objectapi.ErrExpired) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "watch head")
		}
		if len(events) == 0 {
			return nil
		}
		from = next
		// Only the last event is the current head. Earlier revisions are skipped: when they arrive faster than this
		// process may call the store, reading each of them would make it fall further and further behind.
		if err := f.adoptEvent(ctx, events[len(events)-1]); err != nil {
			return err
		}
	}
}

func (f *Follower) adoptEvent(ctx context.Context, e objectapi.Event) error {
	if e.Type != objectapi.EventPut {
		return nil
	}
	return f.adoptHead(ctx, e.Object)
}

func (f *Follower) adoptHead(ctx context.Context, o objectapi.Object) error {
	var h resource.Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return trace.Wrap(err, "decode head")
	}
	_, known := f.Adopter.Current()
	if known && h.Revision <= f.Adopter.Number() {
		return nil
	}
	if !known && objectapi.EraOf(h.Revision) < objectapi.EraOf(o.Version) {
		f.Adopter.RecordMissing(SourceHead, errNoHeadOfEra.Error())
		return nil
	}
	r, err := Load(ctx, f.Store, h)
	if errors.Is(err, objectapi.ErrNotFound) {
		// The head has advanced and the old revision was deleted; the next read of the head gives the newer one.
		return trace.Wrap(err, "revision %d deleted after the head advanced", h.Revision)
	}
	if err != nil {
		return err
	}
	f.Adopter.Offer(r, SourceHead)
	return nil
}

// errNoHeadOfEra is the reason why a process without a revision does not adopt that of a head from an earlier era: the
// object API may have lost a later revision that peers still have. The holder of the compile lease rewrites the head.
var errNoHeadOfEra = errors.New("no revision has been accepted in the current era of the object API")

func (f *Follower) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		f.queryPeers(ctx)
		_ = f.clock().Sleep(ctx, f.peerInterval())
	}
	return ctx.Err()
}

// queryPeers adopts the highest revision among the peers that answer, if at least MinPeers do or one is known already.
func (f *Follower) queryPeers(ctx context.Context) {
	list, err := f.Peers.Highest(ctx, f.Adopter.Number())
	if err != nil {
		f.Adopter.RecordMissing(SourcePeer, err.Error())
		return
	}
	var best resource.Revision
	for _, r := range list {
		if r.Number > best.Number {
			best = r
		}
	}
	if best.Number == 0 {
		f.Adopter.RecordMissing(SourcePeer, "no peer has a revision")
		return
	}
	if _, known := f.Adopter.Current(); !known && len(list) < f.MinPeers {
		f.Adopter.RecordMissing(SourcePeer, fmt.Sprintf("%d of %d required peers answered", len(list), f.MinPeers))
		return
	}
	if best.Number > f.Adopter.Number() {
		f.Adopter.Offer(best, SourcePeer)
	}
}

func (f *Follower) clock() lease.Clock {
	if f.Clock == nil {
		return lease.SystemClock{}
	}
	return f.Clock
}

func (f *Follower) peerInterval() time.Duration {
	if f.PeerInterval == 0 {
		return DefaultPeerInterval
	}
	return f.PeerInterval
}
