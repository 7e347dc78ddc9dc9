package requests

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

const (
	storeDelay = 2 * time.Millisecond
	// Fractions of the writes whose response is lost after they took effect, and that are lost before.
	lostAfter  = 0.10
	lostBefore = 0.05
)

// store is a stand-in for the object API that implements only the methods that claims use.
type store struct {
	objectapi.Store
	down  atomic.Bool
	loses atomic.Bool

	mu      sync.Mutex
	rand    *rand.Rand
	objects map[string]objectapi.Object
	version uint64
	writes  int
}

func newStore(seed uint64) *store {
	return &store{rand: rand.New(rand.NewPCG(seed, 4)), objects: make(map[string]objectapi.Object)}
}

// enter waits for storeDelay and locks mu; the caller unlocks it unless there is an error.
func (s *store) enter(ctx context.Context) error {
	timer := time.NewTimer(storeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return objectapi.ErrOutcomeUnknown
	}
	if s.down.Load() {
		return objectapi.ErrUnavailable
	}
	s.mu.Lock()
	return nil
}

// write stores an object and loses some writes and responses when loses is set; mu is held.
func (s *store) write(o objectapi.Object) (objectapi.Object, error) {
	chance := s.rand.Float64()
	if s.loses.Load() && chance < lostBefore {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	s.writes++
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	if s.loses.Load() && chance < lostBefore+lostAfter {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return o, nil
}

func (s *store) Get(ctx context.Context, _ objectapi.Kind, name string) (objectapi.Object, error) {
	if err := s.enter(ctx); err != nil {
		return objectapi.Object{}, err
	}
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *store) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	if err := s.enter(ctx); err != nil {
		return objectapi.Object{}, err
	}
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	return s.write(objectapi.Object{Kind: kind, Name: name, Value: value})
}

// Update replaces an object if its stored version is o.Version.
func (s *store) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if err := s.enter(ctx); err != nil {
		return objectapi.Object{}, err
	}
	defer s.mu.Unlock()
	if s.objects[o.Name].Version != o.Version {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	return s.write(o)
}
