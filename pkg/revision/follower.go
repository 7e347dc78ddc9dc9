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
	// DefaultPeerInterval is the time between two questions to the peers.
	DefaultPeerInterval = 500 * time.Millisecond
	// followRetry is the pause after a failed call to the store.
	followRetry = 250 * time.Millisecond
)

// Follower brings an Adopter to the highest accepted revision, from the head and from peers at the same time.
type Follower struct {
	// Store keeps the head and the revisions.
	Store objectapi.Store
	// Peers asks other balancers; nil means that there are none.
	Peers Peers
	// Adopter takes the revisions.
	Adopter *Adopter
	// Clock is the local clock; nil means lease.SystemClock.
	Clock lease.Clock
	// PeerInterval is the time between two questions to the peers; 0 means DefaultPeerInterval.
	PeerInterval time.Duration
	// MinPeers is the number of peers that have to answer before the first revision is taken from them; 0 means 1. All
	// known peers are asked, so that a process which lost its memory does not come back with less than its peers hold.
	MinPeers int
	// Log takes failures.
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

// followHead reads the head, waits for changes, and reads it again at the end of every wait, so that a gap in the
// watch delays a revision by one wait at most.
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
		if err := f.takeHead(ctx, o); err != nil {
			return err
		}
	}
	return f.waitHead(ctx, from)
}

// waitHead takes changes of the head until a wait brings none.
func (f *Follower) waitHead(ctx context.Context, from uint64) error {
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
		// The last event is the head of now. The revisions before it are not read: when they come faster than this
		// process may call the store, reading each would fall behind more and more.
		if err := f.takeEvent(ctx, events[len(events)-1]); err != nil {
			return err
		}
	}
}

func (f *Follower) takeEvent(ctx context.Context, e objectapi.Event) error {
	if e.Type != objectapi.EventPut {
		return nil
	}
	return f.takeHead(ctx, e.Object)
}

func (f *Follower) takeHead(ctx context.Context, o objectapi.Object) error {
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
		// The head has moved on and the old revision is deleted; the next read of the head brings the newer one.
		return trace.Wrap(err, "head moved on")
	}
	if err != nil {
		return err
	}
	f.Adopter.Offer(r, SourceHead)
	return nil
}

// errNoHeadOfEra is why a process that knows no revision does not take the one of the head: the object API may have lost a later one, which peers
// know. The holder of the compile lease writes the head again.
var errNoHeadOfEra = errors.New("no revision was accepted in this era of the object API yet")

func (f *Follower) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		f.askPeers(ctx)
		_ = f.clock().Sleep(ctx, f.peerInterval())
	}
	return ctx.Err()
}

// askPeers adopts the highest revision of the peers that answer.
func (f *Follower) askPeers(ctx context.Context) {
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
		f.Adopter.RecordMissing(SourcePeer, "no peer knows a revision")
		return
	}
	if _, known := f.Adopter.Current(); !known && len(list) < f.MinPeers {
		f.Adopter.RecordMissing(SourcePeer, fmt.Sprintf("%d of %d peers needed have answered", len(list), f.MinPeers))
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
