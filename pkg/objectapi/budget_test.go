package objectapi_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// TestBudgetRate checks that all kinds of calls share one rate.
func TestBudgetRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := store.New(store.Config{WatchWait: time.Millisecond})
		b := objectapi.NewBudgeted(mem, objectapi.BudgetConfig{Rate: 10, Burst: 6, MaxWait: time.Hour})
		began := time.Now()
		for range 20 {
			for _, call := range calls {
				_ = call(t.Context(), b) // Conflicts are calls too.
			}
		}
		took := time.Since(began)
		require.GreaterOrEqual(t, took, time.Duration(20*len(calls)-6-1)*time.Second/10)
		st := b.Stats()
		require.Equal(t, map[objectapi.Op]uint64(mem.Counts()), st.Calls)
		require.EqualValues(t, 20*len(calls), st.Reads()+st.Writes())
		require.Zero(t, st.OpenWatches)
	})
}

// TestBudgetRefuses checks that a call that would wait too long is refused at once and not made.
func TestBudgetRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := store.New(store.Config{})
		b := objectapi.NewBudgeted(mem, objectapi.BudgetConfig{Rate: 1, Burst: 1, MaxWait: 1500 * time.Millisecond})
		require.NoError(t, calls[objectapi.OpCreate](t.Context(), b))
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, calls[objectapi.OpUpdate](ctx, b), objectapi.ErrUnavailable, "its deadline comes first")
		require.Zero(t, time.Since(began))
		go func() { _ = calls[objectapi.OpGet](t.Context(), b) }()
		synctest.Wait()
		require.ErrorIs(t, calls[objectapi.OpGet](t.Context(), b), objectapi.ErrUnavailable, "two seconds to wait")
		require.Zero(t, time.Since(began))
		time.Sleep(2 * time.Second)
		st := b.Stats()
		require.Equal(t, map[objectapi.Op]uint64{objectapi.OpUpdate: 1, objectapi.OpGet: 1}, st.Refused)
		require.EqualValues(t, 2, mem.Counts().Reads()+mem.Counts().Writes())
	})
}

// TestBudgetRetries checks that reads are retried over a short outage, that a long one does not multiply the calls, and
// that writes are never sent twice.
func TestBudgetRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := store.New(store.Config{})
		scope := tally.NewTestScope("", nil)
		b := objectapi.NewBudgeted(mem, objectapi.BudgetConfig{Rate: 1e6, Burst: 1e6, Scope: scope})
		require.NoError(t, calls[objectapi.OpCreate](t.Context(), b))
		mem.SetFaults(store.Faults{Outage: true})
		time.AfterFunc(20*time.Millisecond, func() { mem.SetFaults(store.Faults{}) })
		require.NoError(t, calls[objectapi.OpGet](t.Context(), b))
		require.EqualValues(t, 1, b.Stats().Retries)

		mem.SetFaults(store.Faults{Outage: true})
		before := mem.Counts()
		for range 200 {
			require.ErrorIs(t, calls[objectapi.OpGet](t.Context(), b), objectapi.ErrUnavailable)
		}
		made := mem.Counts().Reads() - before.Reads()
		require.Less(t, made, uint64(200+10+200/10+5))
		require.NotZero(t, b.Stats().RetriesDenied)
		require.ErrorIs(t, calls[objectapi.OpUpdate](t.Context(), b), objectapi.ErrUnavailable)
		require.EqualValues(t, 1, mem.Counts()[objectapi.OpUpdate])
		got := scope.Snapshot().Counters()["objectapi.calls+kind=thing,op=create,outcome=ok"]
		require.NotNil(t, got)
		require.EqualValues(t, 1, got.Value())
	})
}
