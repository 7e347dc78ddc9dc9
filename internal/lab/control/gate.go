package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// gate is on a balancer's ways to the store. It can hold the calls for a time, after which they go through late, and it
// ends with the balancer's death.
type gate struct {
	// unfenced makes the writes of the head unconditional.
	unfenced bool
	dead     atomic.Bool
	// held counts the writes that went through late.
	held atomic.Int64

	mu     sync.Mutex
	resume chan struct{}
	// atHead is how long the next write of the head and all calls after it are held.
	atHead time.Duration
}

// pause holds all calls for d.
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

// pauseAtHead holds the next write of the head, and all calls from then on, for d.
func (g *gate) pauseAtHead(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atHead = d
}

// pass waits while calls are held. A held write is sent however long its caller has given it up: it was on its way.
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

// through returns a store whose calls pass the gate.
func (g *gate) through(s objectapi.Store) objectapi.Store { return gated{Store: s, gate: g} }

// gated is one way to the store.
type gated struct {
	objectapi.Store
	*gate
}

// Get implements objectapi.Store, as the methods that follow.
func (g gated) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	ctx, err := g.pass(ctx, k, false)
	if err != nil {
		return objectapi.Object{}, err
	}
	return g.Store.Get(ctx, k, name)
}

func (g gated) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	ctx, err := g.pass(ctx, k, false)
	if err != nil {
		return nil, 0, err
	}
	return g.Store.List(ctx, k)
}

func (g gated) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	if _, err := g.pass(ctx, k, false); err != nil {
		return nil, 0, err
	}
	return g.Store.Watch(ctx, k, from)
}

func (g gated) Create(ctx context.Context, k objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	ctx, err := g.pass(ctx, k, true)
	if err != nil {
		return objectapi.Object{}, err
	}
	return g.Store.Create(ctx, k, name, value)
}

func (g gated) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
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

func (g gated) Delete(ctx context.Context, k objectapi.Kind, name string, version uint64) error {
	ctx, err := g.pass(ctx, k, true)
	if err != nil {
		return err
	}
	return g.Store.Delete(ctx, k, name, version)
}
