// Package storetest is the contract test suite for implementations of objectapi.Store.
package storetest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

const kind objectapi.Kind = "thing"

// Run tests the contract against stores that newStore makes; each must be empty and without faults.
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
	{"WatchInOrder", watchInOrder},
}

func createGet(t *testing.T, s objectapi.Store) {
	_, err := s.Get(t.Context(), kind, "a/b c")
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	o, err := s.Create(t.Context(), kind, "a/b c", []byte("one"))
	require.NoError(t, err)
	require.NotZero(t, o.Version)
	got, err := s.Get(t.Context(), kind, "a/b c")
	require.NoError(t, err)
	require.Equal(t, objectapi.Object{Kind: kind, Name: "a/b c", Version: o.Version, Value: []byte("one")}, got)
	_, err = s.Create(t.Context(), kind, "a/b c", []byte("two"))
	require.ErrorIs(t, err, objectapi.ErrConflict)
}

func conditionalUpdate(t *testing.T, s objectapi.Store) {
	o, err := s.Create(t.Context(), kind, "a", []byte("one"))
	require.NoError(t, err)
	old := o
	o.Value = []byte("two")
	o, err = s.Update(t.Context(), o)
	require.NoError(t, err)
	require.Greater(t, o.Version, old.Version)
	_, err = s.Update(t.Context(), old)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = s.Update(t.Context(), objectapi.Object{Kind: kind, Name: "absent", Version: o.Version})
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = s.Update(t.Context(), objectapi.Object{Kind: kind, Name: "absent"})
	require.ErrorIs(t, err, objectapi.ErrConflict)
}

func deleteByVersion(t *testing.T, s objectapi.Store) {
	o, err := s.Create(t.Context(), kind, "a", nil)
	require.NoError(t, err)
	require.ErrorIs(t, s.Delete(t.Context(), kind, "a", o.Version+1), objectapi.ErrConflict)
	require.NoError(t, s.Delete(t.Context(), kind, "a", o.Version))
	require.ErrorIs(t, s.Delete(t.Context(), kind, "a", o.Version), objectapi.ErrNotFound)
}

func watchInOrder(t *testing.T, s objectapi.Store) {
	items, from, err := s.List(t.Context(), kind)
	require.NoError(t, err)
	require.Empty(t, items)
	a, err := s.Create(t.Context(), kind, "a", []byte("1"))
	require.NoError(t, err)
	_, err = s.Create(t.Context(), "other", "a", []byte("2"))
	require.NoError(t, err)
	require.NoError(t, s.Delete(t.Context(), kind, "a", a.Version))
	events, next, err := s.Watch(t.Context(), kind, from)
	require.NoError(t, err)
	require.Len(t, events, 2)
	require.Equal(t, objectapi.EventPut, events[0].Type)
	require.Equal(t, objectapi.EventDelete, events[1].Type)
	require.Less(t, events[0].Object.Version, events[1].Object.Version)
	require.GreaterOrEqual(t, next, events[1].Object.Version)
}
