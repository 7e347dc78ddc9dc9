package request

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// storeFault is the fault of one call of a memoryStore.
type storeFault string

const (
	faultNone       storeFault = ""
	faultDown       storeFault = "down"
	faultLostAfter  storeFault = "answer lost after the write"
	faultLostBefore storeFault = "answer lost before the write"
)

// memoryStore implements the methods of the object API that claims use. faults apply to the next calls in order.
type memoryStore struct {
	objectapi.Store
	mu      sync.Mutex
	objects map[string]objectapi.Object
	version uint64
	faults  []storeFault
}

func newMemoryStore(faults ...storeFault) *memoryStore {
	return &memoryStore{objects: make(map[string]objectapi.Object), faults: faults}
}

func (m *memoryStore) fault() storeFault {
	if len(m.faults) == 0 {
		return faultNone
	}
	f := m.faults[0]
	m.faults = m.faults[1:]
	return f
}

func (m *memoryStore) write(o objectapi.Object, f storeFault) (objectapi.Object, error) {
	if f == faultLostBefore {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	m.version++
	o.Version = m.version
	m.objects[o.Name] = o
	if f == faultLostAfter {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return o, nil
}

func (m *memoryStore) Get(_ context.Context, _ objectapi.Kind, name string) (objectapi.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault() == faultDown {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, ok := m.objects[name]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Create(_ context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.fault()
	if f == faultDown {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	if _, ok := m.objects[name]; ok {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	return m.write(objectapi.Object{Kind: kind, Name: name, Value: value}, f)
}

func (m *memoryStore) Update(_ context.Context, o objectapi.Object) (objectapi.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.fault()
	if f == faultDown {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	if m.objects[o.Name].Version != o.Version {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	return m.write(o, f)
}

func (m *memoryStore) List(context.Context, objectapi.Kind) ([]objectapi.Object, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.objects)), m.version, nil
}

func (m *memoryStore) Delete(_ context.Context, _ objectapi.Kind, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[name].Version != version {
		return objectapi.ErrConflict
	}
	delete(m.objects, name)
	return nil
}
