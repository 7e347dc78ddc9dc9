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
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// pacedStore delays each get and watch, as a call budget does, and counts the reads of revisions.
type pacedStore struct {
	objectapi.Store
	pause time.Duration
	loads int
}

func (s *pacedStore) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	if k == resource.KindRevision {
		s.loads++
	}
	time.Sleep(s.pause)
	return s.Store.Get(ctx, k, name)
}

func (s *pacedStore) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	time.Sleep(s.pause)
	return s.Store.Watch(ctx, k, from)
}

// Revisions that arrive faster than a balancer may read them must not queue up: it reads the last one.
func TestFollowerSkipsRevisionsAboveItsCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		c := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
		paced := &pacedStore{Store: s, pause: 200 * time.Millisecond}
		f := &Follower{Store: paced, Adopter: NewAdopter(zerolog.Nop())}
		ctx, stop := context.WithCancel(t.Context())
		defer func() {
			stop()
			time.Sleep(time.Minute)
		}()
		go func() { _ = f.Run(ctx) }()
		const revisions = 40
		for i := range revisions {
			v := testService("a", "10.0.0.1", 0).Service
			v.Spec.Limits.Queue = uint32(i)
			putService(t, s, v)
			require.NoError(t, c.round(t.Context()))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		require.EqualValues(t, revisions, f.Adopter.Number(), "half a second after the last revision")
		require.Less(t, paced.loads, revisions/2)
	})
}
