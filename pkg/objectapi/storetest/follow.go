package storetest

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// follower maintains the state that an informer delivers, and fails the test when a version decreases.
type follower struct {
	t       *testing.T
	view    map[string]uint64
	updates chan map[string]uint64
	version uint64
}

// follow starts an informer that stops with the test.
func follow(t *testing.T, s objectapi.Store) *follower {
	f := &follower{t: t, view: make(map[string]uint64), updates: make(chan map[string]uint64, 1000)}
	cfg := objectapi.InformerConfig{
		MinInterval: time.Millisecond,
		Backoff:     objectapi.Backoff{Min: time.Millisecond, Max: 10 * time.Millisecond},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = objectapi.WatchKind(ctx, s, kind, cfg, f.batch)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *follower) batch(events []objectapi.Event, version uint64) {
	for _, e := range events {
		if e.Object.Version < f.version {
			f.t.Errorf("event at version %d after %d", e.Object.Version, f.version)
		}
		f.version = e.Object.Version
		if e.Type == objectapi.EventDelete {
			delete(f.view, e.Object.Name)
			continue
		}
		f.view[e.Object.Name] = e.Object.Version
	}
	if version < f.version {
		f.t.Errorf("batch version %d after %d", version, f.version)
	}
	f.version = version
	f.updates <- maps.Clone(f.view)
}

// waitFor waits until the view equals want. It relies on the test's timeout.
func (f *follower) waitFor(want map[string]uint64) {
	for got := range f.updates {
		if maps.Equal(got, want) {
			return
		}
	}
}
