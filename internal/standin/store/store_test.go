package store

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// TestTimedFaults checks the faults that depend on time; the contract tests check the others.
func TestTimedFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{WatchWait: 10 * time.Second})
		s.SetFaults(Faults{Latency: time.Second})
		began := time.Now()
		_, err := s.Create(t.Context(), "thing", "a", nil)
		require.NoError(t, err)
		require.Equal(t, time.Second, time.Since(began))

		s.SetFaults(Faults{RatePerSecond: 5})
		refused := 0
		for range 20 {
			if _, err := s.Get(t.Context(), "thing", "a"); err != nil {
				require.ErrorIs(t, err, objectapi.ErrUnavailable)
				refused++
			}
		}
		require.Equal(t, 15, refused)
		require.EqualValues(t, 20, s.Counts().Reads())

		s.SetFaults(Faults{HoldKinds: map[objectapi.Kind]time.Duration{"thing": 3 * time.Second}})
		o, err := s.Create(t.Context(), "thing", "b", nil)
		require.NoError(t, err)
		_, err = s.Create(t.Context(), "other", "c", nil)
		require.NoError(t, err)
		began = time.Now()
		events, _, err := s.Watch(t.Context(), "other", o.Version)
		require.NoError(t, err)
		require.Len(t, events, 1)
		require.Zero(t, time.Since(began), "the later event of another kind is not delayed")
		events, next, err := s.Watch(t.Context(), "thing", o.Version-1)
		require.NoError(t, err)
		require.Len(t, events, 1)
		require.Equal(t, 3*time.Second, time.Since(began))

		began = time.Now()
		events, _, err = s.Watch(t.Context(), "thing", next)
		require.NoError(t, err)
		require.Empty(t, events)
		require.Equal(t, 10*time.Second, time.Since(began))
	})
}

// TestOutageEndsWatches checks that a waiting watch fails at the start of an outage.
func TestOutageEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{WatchWait: time.Hour})
		time.AfterFunc(time.Second, func() { s.SetFaults(Faults{Outage: true}) })
		began := time.Now()
		_, _, err := s.Watch(t.Context(), "thing", 0)
		require.ErrorIs(t, err, objectapi.ErrUnavailable)
		require.Equal(t, time.Second, time.Since(began))
	})
}
