package control

import (
	"context"
	"sync/atomic"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// countingStore counts the calls that reach a store, failed ones included.
type countingStore struct {
	objectapi.Store
	reads, writes atomic.Int64
}

// Get implements objectapi.Store, as do the methods that follow.
func (c *countingStore) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	c.reads.Add(1)
	return c.Store.Get(ctx, k, name)
}

func (c *countingStore) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	c.reads.Add(1)
	return c.Store.List(ctx, k)
}

func (c *countingStore) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	c.reads.Add(1)
	return c.Store.Watch(ctx, k, from)
}

func (c *countingStore) Create(ctx context.Context, k objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	c.writes.Add(1)
	return c.Store.Create(ctx, k, name, value)
}

func (c *countingStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	c.writes.Add(1)
	return c.Store.Update(ctx, o)
}

func (c *countingStore) Delete(ctx context.Context, k objectapi.Kind, name string, version uint64) error {
	c.writes.Add(1)
	return c.Store.Delete(ctx, k, name, version)
}
