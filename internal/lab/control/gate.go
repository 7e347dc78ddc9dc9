package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// gate intercepts a balancer's calls to the store. It can delay calls for a time, and fails them once the balancer is
// killed.
type gate struct {
	// unfenced makes updates of the head unconditional.
	unfenced bool
	dead     atomic.Bool
	// held counts the delayed writes, those that fail afterwards because the balancer was killed included.
	held atomic.Int64

	mu     sync.Mutex
	resume chan struct{}
	// atHead is how long the next write of the head and all calls after it are delayed; 0 means not at all.
	atHead time.Duration
}

// pause delays all calls until d has passed, unless a pause is already in progress.
func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauseLocked(d)
}

func (g *gate) pauseLocked(d time.Duration) {
	if g.resume != nil {
		return
	}
	c := make(chan struct{})
	g.resume = c
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.resume = nil
		close(c)
	})
}

// pauseAtHead starts a pause of d at the next write of the head.
func (g *gate) pauseAtHead(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atHead = d
}

// pass waits until a pause ends. A delayed call other than Watch goes through even if its context has ended meanwhile,
// like a request already in flight.
func (g *gate) pass(ctx context.Context, k objectapi.Kind, writes bool) (context.Context, error) {
	g.mu.Lock()
	if writes && k == resource.KindHead && g.atHead > 0 {
		g.pauseLocked(g.atHead)
		g.atHead = 0
	}
	c := g.resume
	g.mu.Unlock()
	if c != nil {
		<-c
		ctx = context.WithoutCancel(ctx)
		if writes {
			g.held.Add(1)
		}
	}
	if g.dead.Load() {
		return ctx, objectapi.ErrUnavailable
	}
	return ctx, nil
}

func (g *gate) wrap(s objectapi.Store) objectapi.Store { return gatedStore{Store: s, gate: g} }

// gatedStore is a store whose calls pass the gate first.
type gatedStore struct {
	objectapi.Store
	*gate
}

// Get implements objectapi.Store, as do the methods that follow.
func (g gatedStore) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	ctx, err := g.pass(ctx, k, false)
	if err != nil {
		return objectapi.Object{}, err
	}
	return g.Store.Get(ctx, k, name)
}

func (g gatedStore) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	ctx, err := g.pass(ctx, k, false)
	if err != nil {
		return nil, 0, err
	}
	return g.Store.List(ctx, k)
}

func (g gatedStore) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	if _, err := g.pass(ctx, k, false); err != nil {
		return nil, 0, err
	}
	return g.Store.Watch(ctx, k, from)
}

func (g gatedStore) Create(ctx context.Context, k objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	ctx, err := g.pass(ctx, k, true)
	if err != nil {
		return objectapi.Object{}, err
	}
	return g.Store.Create(ctx, k, name, value)
}

func (g gatedStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	ctx, err := g.pass(ctx, o.Kind, true)
	if err != nil {
		return objectapi.Object{}, err
	}
	if g.unfenced && o.Kind == resource.KindHead {
		if now, err := g.Store.Get(ctx, o.Kind, o.Name); err == nil {
			o.Version = now.Version
		}
	}
	return g.Store.Update(ctx, o)
}

func (g gatedStore) Delete(ctx context.Context, k objectapi.Kind, name string, version uint64) error {
	ctx, err := g.pass(ctx, k, true)
	if err != nil {
		return err
	}
	return g.Store.Delete(ctx, k, name, version)
}
