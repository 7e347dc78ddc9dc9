package objectapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

func TestVersionsOfLaterEraAreHigher(t *testing.T) {
	last, err := objectapi.MakeVersion(3, 1<<40-1)
	require.NoError(t, err)
	first, err := objectapi.MakeVersion(4, 0)
	require.NoError(t, err)
	require.Greater(t, first, last)
	require.EqualValues(t, 3, objectapi.EraOf(last))
	require.EqualValues(t, 1<<40-1, objectapi.RevisionOf(last))
	require.Equal(t, first, objectapi.EraStart(first+7))
	same, err := objectapi.MakeVersion(0, 21)
	require.NoError(t, err)
	require.EqualValues(t, 21, same, "without eras versions are revisions")
	_, err = objectapi.MakeVersion(0, 1<<40)
	require.ErrorIs(t, err, objectapi.ErrVersionRange)
	_, err = objectapi.MakeVersion(1<<22, 0)
	require.ErrorIs(t, err, objectapi.ErrVersionRange)
}

func TestEraHeader(t *testing.T) {
	for _, c := range []struct {
		name, text string
		seen       uint64
		era        uint64
		fails      bool
	}{
		{"no header", "", 0, 0, false},
		{"no header from an API that has named one", "", 4, 4, false},
		{"the first era may be 0", "0", 0, 1, false},
		{"the next one", "4", 4, 5, false},
		{"an answer of an earlier era", "2", 4, 0, true},
		{"not a number", "x", 0, 0, true},
		{"below 0", "-1", 0, 0, true},
		{"out of range", "4194303", 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := objectapi.NewEras()
			e.Observe(c.seen)
			h := http.Header{}
			if c.text != "" {
				h.Set(objectapi.EraHeader, c.text)
			}
			era, err := e.FromResponse(h)
			require.Equal(t, c.fails, err != nil)
			require.Equal(t, c.era, era)
			require.Equal(t, max(c.seen, c.era), e.Newest())
		})
	}
}

// restoredAPI is an object API over HTTP that a test restores from an older copy.
type restoredAPI struct {
	*store.Store
	client, other *objectapi.Client
}

func newRestoredAPI(t *testing.T) *restoredAPI {
	s := store.New(store.Config{WatchWait: 100 * time.Millisecond})
	srv := httptest.NewServer(store.Handler(s))
	t.Cleanup(srv.Close)
	return &restoredAPI{Store: s, client: objectapi.NewClient(srv.URL, objectapi.Options{}), other: objectapi.NewClient(srv.URL, objectapi.Options{})}
}

func (a *restoredAPI) create(t *testing.T, name string) objectapi.Object {
	o, err := a.client.Create(t.Context(), "thing", name, []byte(name))
	require.NoError(t, err)
	return o
}

func TestWatchFromEarlierEraHasExpired(t *testing.T) {
	a := newRestoredAPI(t)
	a.create(t, "one")
	older := a.Snapshot()
	o := a.create(t, "two")
	a.Restore(older)
	for _, name := range []string{"three", "four", "five"} {
		_, err := a.other.Create(t.Context(), "thing", name, nil)
		require.NoError(t, err)
	}
	_, _, err := a.client.Watch(t.Context(), "thing", o.Version)
	require.ErrorIs(t, err, objectapi.ErrExpired, "before this client has seen the new era")
	_, _, err = a.client.Watch(t.Context(), "thing", o.Version)
	require.ErrorIs(t, err, objectapi.ErrExpired, "after it has seen the new era")
	list, version, err := a.client.List(t.Context(), "thing")
	require.NoError(t, err)
	require.Len(t, list, 4)
	require.Greater(t, version, o.Version)
}

func TestConditionOnEarlierEraDoesNotHold(t *testing.T) {
	a := newRestoredAPI(t)
	older := a.Snapshot()
	o := a.create(t, "one")
	a.Restore(older)
	_, err := a.other.Create(t.Context(), "thing", "one", []byte("of another process"))
	require.NoError(t, err)
	_, err = a.client.Update(t.Context(), o)
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown, "the revision was reused, and the client has not seen the new era")
	_, err = a.client.Update(t.Context(), o)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	require.ErrorIs(t, a.client.Delete(t.Context(), "thing", "one", o.Version), objectapi.ErrConflict)
}

func TestInformerDeliversObjectsOfLaterEra(t *testing.T) {
	a := newRestoredAPI(t)
	a.create(t, "one")
	older := a.Snapshot()
	a.create(t, "two")
	known := make(map[string]bool)
	informed := make(chan struct{}, 100)
	ctx := t.Context()
	go func() {
		_ = objectapi.WatchKind(ctx, a.client, "thing", objectapi.InformerConfig{}, func(events []objectapi.Event, _ uint64) {
			for _, e := range events {
				known[e.Object.Name] = e.Type == objectapi.EventPut
			}
			informed <- struct{}{}
		})
	}()
	<-informed
	require.Equal(t, map[string]bool{"one": true, "two": true}, known)
	a.Restore(older)
	_, err := a.other.Create(ctx, "thing", "three", nil)
	require.NoError(t, err)
	<-informed
	require.Equal(t, map[string]bool{"one": true, "two": false, "three": true}, known)
}
