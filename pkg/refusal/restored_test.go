package refusal

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// recordsIn returns the number of records in the object API.
func recordsIn(t *testing.T, s objectapi.Store) int {
	list, _, err := s.List(t.Context(), KindAt(time.Now()))
	require.NoError(t, err)
	n := 0
	for _, o := range list {
		records, err := decode(o.Value)
		require.NoError(t, err)
		n += len(records)
	}
	return n
}

// newRestoredLog returns a log that has written two objects, and a copy of the store from before the second.
func newRestoredLog(t *testing.T) (*Log, *store.Store, store.Snapshot, *objectapi.Eras) {
	s, eras := store.New(store.Config{Era: 1}), objectapi.NewEras()
	eras.Observe(1)
	l := NewLog(Config{Process: "p", Incarnation: 1, Store: s, Eras: eras})
	l.Record(Record{Reason: ReasonAllFull})
	require.NoError(t, l.Drain(t.Context()))
	older := s.Snapshot()
	l.Record(Record{Reason: ReasonAllFull})
	require.NoError(t, l.Drain(t.Context()))
	require.Equal(t, 2, recordsIn(t, s))
	return l, s, older, eras
}

func TestRecordsThatTheObjectAPIHasLostAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s, older, eras := newRestoredLog(t)
		ctx, stop := context.WithCancel(t.Context())
		defer func() {
			stop()
			time.Sleep(time.Minute)
		}()
		go func() { _ = l.Run(ctx) }()
		s.Restore(older)
		eras.Observe(s.Era())
		time.Sleep(2 * DefaultMinInterval * 3 / 2)
		require.Equal(t, 2, recordsIn(t, s))
		before := s.Counts()
		time.Sleep(time.Minute)
		require.Equal(t, before, s.Counts(), "each is written again once")
	})
}

func TestAProcessThatStopsWritesLostRecordsAgainFirst(t *testing.T) {
	l, s, older, eras := newRestoredLog(t)
	s.Restore(older)
	eras.Observe(s.Era())
	require.NoError(t, l.Drain(t.Context()))
	require.Equal(t, 2, recordsIn(t, s))
}

func TestRecentObjectsAreBounded(t *testing.T) {
	var r recentObjects
	now := time.Unix(1000, 0)
	for range 100 {
		r.add(now, objectapi.Object{Value: make([]byte, maxRewriteBytes/10)})
	}
	require.LessOrEqual(t, r.bytes, maxRewriteBytes)
	require.LessOrEqual(t, len(r.list), 10)
	r.add(now.Add(rewriteWindow+time.Second), objectapi.Object{Name: "last", Value: []byte("x")})
	require.Len(t, r.list, 1)
	require.Equal(t, 1, r.bytes)
}
