package revision

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// restoredWorld is balancers of which each competes for the compile duty and follows the head.
type restoredWorld struct {
	t        *testing.T
	store    *store.Store
	ctx      context.Context
	adopters []*Adopter
}

func newRestoredWorld(ctx context.Context, t *testing.T, era uint64) *restoredWorld {
	return &restoredWorld{t: t, ctx: ctx, store: store.New(store.Config{Era: era, WatchWait: time.Second})}
}

// Highest implements Peers: the revisions of all balancers.
func (w *restoredWorld) Highest(context.Context, uint64) ([]resource.Revision, error) {
	var out []resource.Revision
	for _, a := range w.adopters {
		if r, known := a.Current(); known {
			out = append(out, r)
		}
	}
	return out, nil
}

// start starts a balancer and returns its adopter.
func (w *restoredWorld) start(name string) *Adopter {
	a := NewAdopter(zerolog.Nop())
	w.adopters = append(w.adopters, a)
	c := &Compiler{Store: w.store, Adopter: a, Log: zerolog.Nop()}
	r := &lease.Runner{Store: w.store, Config: lease.Config{Name: LeaseName, Holder: name, Duration: 3 * time.Second}, Log: zerolog.Nop()}
	f := &Follower{Store: w.store, Peers: w, Adopter: a}
	go func() { _ = r.Run(w.ctx, c.Duty) }()
	go func() { _ = f.Run(w.ctx) }()
	return a
}

// putQueue stores the service with another limit.
func (w *restoredWorld) putQueue(queue uint32) {
	v := testService("a", "10.0.0.1", 0).Service
	v.Spec.Limits.Queue = queue
	putService(w.t, w.store, v)
}

// queueOf returns the limit that a balancer has in force; 0 before there is one.
func queueOf(a *Adopter) uint32 {
	r, _ := a.Current()
	if len(r.Services) == 0 {
		return 0
	}
	return r.Services[0].Spec.Limits.Queue
}

// inWorld runs f in virtual time, in a store that names eras from the start and in one that does not.
func inWorld(t *testing.T, f func(t *testing.T, w *restoredWorld)) {
	for _, era := range []uint64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				time.Sleep(time.Minute)
			}()
			f(t, newRestoredWorld(ctx, t, era))
		})
	}
}

func TestAChangeIsInForceAfterTheHeadCameBackOlder(t *testing.T) {
	inWorld(t, func(t *testing.T, w *restoredWorld) {
		a, b := w.start("a"), w.start("b")
		w.putQueue(1)
		time.Sleep(5 * time.Second)
		older := w.store.Copy()
		for q := range uint32(4) {
			w.putQueue(2 + q)
			time.Sleep(2 * time.Second)
		}
		require.EqualValues(t, 5, queueOf(b))
		w.store.Restore(older, resource.KindService)
		w.putQueue(9)
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 9, queueOf(a))
		require.EqualValues(t, 9, queueOf(b))
		c := w.start("c")
		time.Sleep(time.Second)
		require.EqualValues(t, 9, queueOf(c), "a balancer that starts then")
	})
}

func TestAServiceThatTheObjectAPIWritesAgainLaterDoesNotGoBack(t *testing.T) {
	inWorld(t, func(t *testing.T, w *restoredWorld) {
		a := w.start("a")
		w.putQueue(1)
		time.Sleep(5 * time.Second)
		older := w.store.Copy()
		w.putQueue(2)
		time.Sleep(2 * time.Second)
		a.OnAdopt(func(r resource.Revision) {
			require.EqualValues(t, 2, r.Services[0].Spec.Limits.Queue)
		})
		w.store.Restore(older)
		time.Sleep(1500 * time.Millisecond)
		w.putQueue(2)
		time.Sleep(6 * time.Second)
		require.EqualValues(t, 2, queueOf(a))
	})
}
