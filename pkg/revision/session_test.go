package revision

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// headFailingStore refuses the next writes of the head, as in an outage that begins after the revision is stored.
type headFailingStore struct {
	objectapi.Store
	refuse int
}

func (s *headFailingStore) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if o.Kind == resource.KindHead && s.refuse > 0 {
		s.refuse--
		return o, objectapi.ErrUnavailable
	}
	return s.Store.Update(ctx, o)
}

func putService(t *testing.T, s objectapi.Store, v resource.Service) {
	b, err := resource.Encode(v)
	require.NoError(t, err)
	o, err := s.Get(t.Context(), resource.KindService, v.Name)
	if err != nil {
		o = objectapi.Object{Kind: resource.KindService, Name: v.Name}
	}
	o.Value = b
	_, err = lease.Put(t.Context(), s, o)
	require.NoError(t, err)
}

func startSession(t *testing.T, s objectapi.Store, g lease.Grant) *session {
	c := &Compiler{Store: s, Log: zerolog.Nop()}
	out, err := newSession(t.Context(), c.withDefaults(), g)
	require.NoError(t, err)
	return out
}

// A revision that was stored but not named by the head must not block another one with the same number.
func TestRevisionStoredWithoutHeadIsReplaced(t *testing.T) {
	s := &headFailingStore{Store: store.New(store.Config{})}
	c := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
	putService(t, s, testService("a", "10.0.0.1", 0).Service)
	s.refuse = 1
	require.ErrorIs(t, c.round(t.Context()), objectapi.ErrUnavailable)
	putService(t, s, testService("a", "10.0.0.2", 0).Service)
	require.NoError(t, c.round(t.Context()))
	require.EqualValues(t, 1, c.current.Number)
	r, err := Load(t.Context(), s, c.head.Value().Head)
	require.NoError(t, err)
	require.Equal(t, "10.0.0.2", r.Services[0].Spec.Addresses[0].IP)
}

func TestFormerHolderAcceptsNothing(t *testing.T) {
	s := store.New(store.Config{})
	former := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
	putService(t, s, testService("a", "10.0.0.1", 0).Service)
	require.NoError(t, former.round(t.Context()))
	later := startSession(t, s, lease.Grant{Holder: "b", Term: 2})
	putService(t, s, testService("a", "10.0.0.2", 0).Service)
	require.ErrorIs(t, former.round(t.Context()), lease.ErrFenced)
	require.EqualValues(t, 1, later.current.Number)
	require.NoError(t, later.round(t.Context()))
	require.EqualValues(t, 2, later.current.Number)
	_, err := newSession(t.Context(), former.cfg, former.grant)
	require.ErrorIs(t, err, lease.ErrFenced)
}

func TestCollectKeepsTheLastRevisions(t *testing.T) {
	s := store.New(store.Config{})
	c := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
	for i := range 23 {
		v := testService("a", "10.0.0.1", 0).Service
		v.Spec.Limits.Queue = uint32(i)
		putService(t, s, v)
		require.NoError(t, c.round(t.Context()))
	}
	list, _, err := s.List(t.Context(), resource.KindRevision)
	require.NoError(t, err)
	require.LessOrEqual(t, len(list), 2*DefaultKeep+1)
	require.GreaterOrEqual(t, len(list), DefaultKeep+1)
}

func TestStatusesOfDeletedServicesAreDeleted(t *testing.T) {
	s := store.New(store.Config{})
	c := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
	putService(t, s, testService("a", "10.0.0.1", 0).Service)
	require.NoError(t, c.round(t.Context()))
	require.NoError(t, c.statuses.write(t.Context()))
	o, err := s.Get(t.Context(), resource.KindService, "a")
	require.NoError(t, err)
	require.NoError(t, s.Delete(t.Context(), o.Kind, o.Name, o.Version))
	require.NoError(t, c.round(t.Context()))
	require.NoError(t, c.statuses.write(t.Context()))
	_, err = s.Get(t.Context(), resource.KindServiceStatus, "a")
	require.ErrorIs(t, err, objectapi.ErrNotFound)
}

func TestStatusWritesOfAFormerHolderFail(t *testing.T) {
	s := store.New(store.Config{})
	former := startSession(t, s, lease.Grant{Holder: "a", Term: 1})
	putService(t, s, testService("a", "10.0.0.1", 0).Service)
	require.NoError(t, former.round(t.Context()))
	require.NoError(t, former.statuses.write(t.Context()))
	later := startSession(t, s, lease.Grant{Holder: "b", Term: 2})
	require.NoError(t, later.round(t.Context()))
	require.NoError(t, later.statuses.write(t.Context()))
	before, err := s.Get(t.Context(), resource.KindServiceStatus, "a")
	require.NoError(t, err)
	j := former.statuses.wanted["a"]
	j.result.Message = "stale"
	former.statuses.wanted["a"] = j
	require.ErrorIs(t, former.statuses.write(t.Context()), lease.ErrFenced)
	after, err := s.Get(t.Context(), resource.KindServiceStatus, "a")
	require.NoError(t, err)
	require.Equal(t, before, after)
}
