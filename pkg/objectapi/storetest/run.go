// Package storetest is the contract test suite for implementations of objectapi.Store.
package storetest

import (
	"bytes"
	"context"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

const kind objectapi.Kind = "thing"

// Run tests the contract against stores that newStore returns; each must be empty and without faults.
func Run(t *testing.T, newStore func(t *testing.T) objectapi.Store) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newStore(t)) })
	}
}

var cases = []struct {
	name string
	run  func(*testing.T, objectapi.Store)
}{
	{"CreateGet", createGet},
	{"ConditionalUpdate", conditionalUpdate},
	{"DeleteByVersion", deleteByVersion},
	{"ListByKind", listByKind},
	{"ValueSize", valueSize},
	{"Names", names},
	{"WatchReportsEveryChange", watchEveryChange},
	{"WatchWaits", watchWaits},
	{"WatchEndsWithContext", watchEnds},
	{"WatchFromFuture", watchFuture},
	{"OneWinner", oneWinner},
	{"Resolved", resolved},
}

func createGet(t *testing.T, s objectapi.Store) {
	_, err := s.Get(t.Context(), kind, "a")
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	o := create(t, s, "a", "one")
	require.NotZero(t, o.Version)
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, objectapi.Object{Kind: kind, Name: "a", Version: o.Version, Value: []byte("one")}, got)
	_, err = s.Create(t.Context(), kind, "a", []byte("two"))
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = s.Get(t.Context(), "other", "a")
	require.ErrorIs(t, err, objectapi.ErrNotFound)
}

func conditionalUpdate(t *testing.T, s objectapi.Store) {
	old := create(t, s, "a", "one")
	o := old
	o.Value = []byte("two")
	o, err := s.Update(t.Context(), o)
	require.NoError(t, err)
	require.Greater(t, o.Version, old.Version)
	_, err = s.Update(t.Context(), old)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = s.Update(t.Context(), objectapi.Object{Kind: kind, Name: "a"})
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = s.Update(t.Context(), objectapi.Object{Kind: kind, Name: "absent", Version: o.Version})
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = s.Update(t.Context(), objectapi.Object{Kind: kind, Name: "absent"})
	require.ErrorIs(t, err, objectapi.ErrConflict)
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, "two", string(got.Value))
}

func deleteByVersion(t *testing.T, s objectapi.Store) {
	o := create(t, s, "a", "one")
	require.ErrorIs(t, s.Delete(t.Context(), kind, "a", o.Version+1), objectapi.ErrConflict)
	require.ErrorIs(t, s.Delete(t.Context(), kind, "a", 0), objectapi.ErrConflict)
	require.NoError(t, s.Delete(t.Context(), kind, "a", o.Version))
	require.ErrorIs(t, s.Delete(t.Context(), kind, "a", o.Version), objectapi.ErrNotFound)
	again := create(t, s, "a", "two")
	require.Greater(t, again.Version, o.Version)
}

func listByKind(t *testing.T, s objectapi.Store) {
	items, before, err := s.List(t.Context(), kind)
	require.NoError(t, err)
	require.Empty(t, items)
	a, b := create(t, s, "a", "1"), create(t, s, "b", "2")
	_, err = s.Create(t.Context(), "other", "c", nil)
	require.NoError(t, err)
	items, version, err := s.List(t.Context(), kind)
	require.NoError(t, err)
	require.ElementsMatch(t, []objectapi.Object{a, b}, items)
	require.GreaterOrEqual(t, version, b.Version)
	require.Greater(t, version, before)
}

func valueSize(t *testing.T, s objectapi.Store) {
	most := bytes.Repeat([]byte{'x'}, objectapi.MaxValueSize)
	o, err := s.Create(t.Context(), kind, "a", most)
	require.NoError(t, err)
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, most, got.Value)
	o.Value = append(most, 'x')
	_, err = s.Update(t.Context(), o)
	require.ErrorIs(t, err, objectapi.ErrInvalid)
	_, err = s.Create(t.Context(), kind, "b", o.Value)
	require.ErrorIs(t, err, objectapi.ErrInvalid)
}

func names(t *testing.T, s objectapi.Store) {
	for _, name := range []string{"a/b c", "x%2Fy", "...", "ü?#&=", "a//b", "-", "[::1]:80"} {
		o := create(t, s, name, name)
		got, err := s.Get(t.Context(), kind, name)
		require.NoError(t, err, name)
		require.Equal(t, o, got)
	}
	for _, name := range []string{"", ".", "..", "a\x00", "a\n", "\xff", string(make([]byte, objectapi.MaxNameSize+1))} {
		_, err := s.Create(t.Context(), kind, name, nil)
		require.ErrorIs(t, err, objectapi.ErrInvalid, "%q", name)
		_, err = s.Get(t.Context(), kind, name)
		require.ErrorIs(t, err, objectapi.ErrInvalid, "%q", name)
	}
}

func watchEveryChange(t *testing.T, s objectapi.Store) {
	_, from, err := s.List(t.Context(), kind)
	require.NoError(t, err)
	a := create(t, s, "a", "1")
	_, err = s.Create(t.Context(), "other", "a", nil)
	require.NoError(t, err)
	b, err := s.Update(t.Context(), objectapi.Object{Kind: kind, Name: "a", Version: a.Version, Value: []byte("2")})
	require.NoError(t, err)
	require.NoError(t, s.Delete(t.Context(), kind, "a", b.Version))
	events, next := watch(t, s, from, 3)
	require.Equal(t, []objectapi.Event{{Type: objectapi.EventPut, Object: a}, {Type: objectapi.EventPut, Object: b}}, events[:2])
	gone := events[2]
	require.Equal(t, objectapi.EventDelete, gone.Type)
	require.Equal(t, "a", gone.Object.Name)
	require.Greater(t, gone.Object.Version, b.Version)
	require.GreaterOrEqual(t, next, gone.Object.Version)
	later, _ := watch(t, s, a.Version, 2)
	require.Equal(t, events[1:], later)
}

func watchWaits(t *testing.T, s objectapi.Store) {
	_, from, err := s.List(t.Context(), kind)
	require.NoError(t, err)
	var g errgroup.Group
	var events []objectapi.Event
	g.Go(func() error {
		events, _ = watch(t, s, from, 1)
		return nil
	})
	o := create(t, s, "a", "1")
	require.NoError(t, g.Wait())
	require.Equal(t, []objectapi.Event{{Type: objectapi.EventPut, Object: o}}, events)
}

func watchEnds(t *testing.T, s objectapi.Store) {
	_, from, err := s.List(t.Context(), kind)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = s.Watch(ctx, kind, from)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	require.ErrorIs(t, err, context.Canceled)
}

func watchFuture(t *testing.T, s objectapi.Store) {
	o := create(t, s, "a", "1")
	_, _, err := s.Watch(t.Context(), kind, o.Version+100)
	require.ErrorIs(t, err, objectapi.ErrExpired)
}

func oneWinner(t *testing.T, s objectapi.Store) {
	const writers = 8
	o := create(t, s, "a", "0")
	won := make(chan string, writers)
	var g errgroup.Group
	for i := range writers {
		g.Go(func() error {
			in := o
			in.Value = []byte(strconv.Itoa(i + 1))
			if _, err := s.Update(t.Context(), in); err == nil {
				won <- string(in.Value)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.Len(t, won, 1)
	got, err := s.Get(t.Context(), kind, "a")
	require.NoError(t, err)
	require.Equal(t, <-won, string(got.Value))
}

func resolved(t *testing.T, s objectapi.Store) {
	o, err := objectapi.CreateResolved(t.Context(), s, kind, "a", []byte("t1"), "t1")
	require.NoError(t, err)
	_, err = objectapi.CreateResolved(t.Context(), s, kind, "a", []byte("t2"), "t2")
	require.ErrorIs(t, err, objectapi.ErrConflict)
	old := o
	o.Value = []byte("t3")
	_, err = objectapi.UpdateResolved(t.Context(), s, o, "t3")
	require.NoError(t, err)
	old.Value = []byte("t4")
	_, err = objectapi.UpdateResolved(t.Context(), s, old, "t4")
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = objectapi.UpdateResolved(t.Context(), s, o, "absent")
	require.ErrorIs(t, err, objectapi.ErrInvalid)
}

func create(t *testing.T, s objectapi.Store, name, value string) objectapi.Object {
	t.Helper()
	o, err := s.Create(t.Context(), kind, name, []byte(value))
	require.NoError(t, err)
	return o
}

// watch collects at least n events after a version, with as many watch calls as the store needs.
func watch(t *testing.T, s objectapi.Store, from uint64, n int) ([]objectapi.Event, uint64) {
	t.Helper()
	var out []objectapi.Event
	for len(out) < n {
		events, next, err := s.Watch(t.Context(), kind, from)
		if err != nil {
			t.Errorf("watch from %d: %v", from, err)
			return out, from
		}
		for _, e := range events {
			if e.Object.Version > from {
				out = append(out, e)
			}
		}
		from = next
	}
	return out, from
}
