package objectapi_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// view is the state of a kind as delivered by an informer; it records whether a version decreased.
type view struct {
	versions map[string]uint64
	reached  uint64
	fell     bool
}

func (p *view) batch(events []objectapi.Event, version uint64) {
	for _, e := range events {
		p.fell = p.fell || e.Object.Version < p.reached
		p.reached = e.Object.Version
		if e.Type == objectapi.EventDelete {
			delete(p.versions, e.Object.Name)
			continue
		}
		p.versions[e.Object.Name] = e.Object.Version
	}
	p.fell = p.fell || version < p.reached
	p.reached = version
}

// TestInformerUnderFaults changes objects of two kinds under random faults. The view must converge to the stored
// objects.
func TestInformerUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { informerRun(t, seed) })
		})
	}
}

func informerRun(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	mem := store.New(store.Config{Seed: seed, History: 20, WatchWait: 5 * time.Second})
	p := &view{versions: make(map[string]uint64)}
	in := objectapi.NewInformer(mem, kind, objectapi.InformerConfig{}, p.batch)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- in.Run(ctx) }()
	for range 400 {
		if rng.IntN(20) == 0 {
			mem.SetFaults(randomFaults(rng))
		}
		if rng.IntN(50) == 0 {
			mem.ClearHistory()
		}
		change(t, mem, rng)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	mem.SetFaults(store.Faults{})
	time.Sleep(time.Minute)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.False(t, p.fell)
	items, _, err := mem.List(t.Context(), kind)
	require.NoError(t, err)
	want := make(map[string]uint64)
	for _, o := range items {
		want[o.Name] = o.Version
	}
	require.True(t, maps.Equal(want, p.versions), "want %v, got %v", want, p.versions)
	require.Greater(t, in.Stats().Lists, uint64(1))
}

func randomFaults(rng *rand.Rand) store.Faults {
	return store.Faults{
		Outage:    rng.IntN(4) == 0,
		Latency:   time.Duration(rng.IntN(100)) * time.Millisecond,
		Jitter:    time.Second,
		Duplicate: rng.IntN(5),
		HoldKinds: map[objectapi.Kind]time.Duration{kind: time.Duration(rng.IntN(2000)) * time.Millisecond},
	}
}

// change tries to create, update or delete one object.
func change(t *testing.T, mem *store.Store, rng *rand.Rand) {
	k := []objectapi.Kind{kind, "other"}[rng.IntN(2)]
	name := string(rune('a' + rng.IntN(6)))
	o, err := mem.Get(t.Context(), k, name)
	if err != nil {
		_, _ = mem.Create(t.Context(), k, name, nil)
		return
	}
	if rng.IntN(3) == 0 {
		_ = mem.Delete(t.Context(), k, name, o.Version)
		return
	}
	_, _ = mem.Update(t.Context(), o)
}

// TestInformerCalls bounds the calls of an informer of a kind without changes and of one that changes all the time.
func TestInformerCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes time.Duration
		lasts   time.Duration
		most    uint64
	}{{"Quiet", 0, time.Hour, 3600/30 + 2}, {"Busy", 50 * time.Millisecond, 10 * time.Minute, 10*600 + 2}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := store.New(store.Config{})
				o, err := mem.Create(t.Context(), kind, "a", nil)
				require.NoError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), c.lasts)
				defer cancel()
				p := &view{versions: make(map[string]uint64)}
				done := make(chan error)
				go func() { done <- objectapi.WatchKind(ctx, mem, kind, objectapi.InformerConfig{}, p.batch) }()
				for c.changes > 0 && ctx.Err() == nil {
					time.Sleep(c.changes)
					o, err = mem.Update(t.Context(), o)
					require.NoError(t, err)
				}
				require.ErrorIs(t, <-done, context.DeadlineExceeded)
				require.LessOrEqual(t, mem.Counts().Reads(), c.most)
				t.Logf("reads=%d writes=%d in %s", mem.Counts().Reads(), mem.Counts().Writes(), c.lasts)
			})
		})
	}
}

// TestInformerIgnoresOlderResponses replaces the followed store by an older one, whose responses must be dropped.
func TestInformerIgnoresOlderResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		current, older := store.New(store.Config{}), store.New(store.Config{})
		for i := range 5 {
			_, err := current.Create(t.Context(), kind, fmt.Sprint(i), nil)
			require.NoError(t, err)
		}
		_, err := older.Create(t.Context(), kind, "0", nil)
		require.NoError(t, err)
		s := &switchableStore{}
		s.now.Store(current)
		p := &view{versions: make(map[string]uint64)}
		in := objectapi.NewInformer(s, kind, objectapi.InformerConfig{}, p.batch)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- in.Run(ctx) }()
		time.Sleep(time.Second)
		s.now.Store(older)
		current.ClearHistory()
		time.Sleep(5 * time.Minute)
		cancel()
		<-done
		require.Len(t, p.versions, 5)
		require.False(t, p.fell)
		require.NotZero(t, in.Stats().Regressions)
		require.EqualValues(t, 5, in.Stats().Version)
	})
}

// switchableStore is a store that a test can replace; it implements only the calls of an informer.
type switchableStore struct {
	objectapi.Store
	now atomic.Pointer[store.Store]
}

func (s *switchableStore) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	return s.now.Load().List(ctx, k)
}

func (s *switchableStore) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	return s.now.Load().Watch(ctx, k, from)
}
