package refusal

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
)

func TestFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		l := NewLog(Config{Process: "agent-1", Store: s})
		began := time.Now()
		first := refuse(l, 1)
		time.Sleep(90 * time.Minute)
		refuse(l, 2)
		l.Record(Record{Service: "reports-svc", Reason: ReasonDeadline, Caller: netip.MustParseAddrPort("[2001:db8::1]:1")})
		require.NoError(t, l.Drain(t.Context()))

		require.EqualValues(t, 3, find(t, s, Query{}).Refusals)
		require.EqualValues(t, 2, find(t, s, Query{Service: "route-svc"}).Refusals)
		require.EqualValues(t, 1, find(t, s, Query{Reason: ReasonDeadline}).Refusals)
		require.EqualValues(t, 1, find(t, s, Query{Caller: netip.MustParsePrefix("2001:db8::/32")}).Refusals)
		require.EqualValues(t, 1, find(t, s, Query{Caller: netip.MustParsePrefix("10.0.2.7/32")}).Refusals)
		require.EqualValues(t, 2, find(t, s, Query{Caller: netip.MustParsePrefix("10.0.0.0/16")}).Refusals)
		got := find(t, s, Query{ID: first})
		require.Len(t, got.Records, 1)
		require.Equal(t, first, got.Records[0].ID)
		require.Contains(t, got.Records[0].Detail, "caller 1")

		early, err := NewReader(s).Find(t.Context(), Query{From: began, To: began.Add(time.Hour)})
		require.NoError(t, err)
		require.Len(t, early.Records, 1)
		_, err = NewReader(s).Find(t.Context(), Query{From: began, To: began.Add(-time.Second)})
		require.Error(t, err)
	})
}

// TestFindMerged checks that a merged refusal is found by its caller and by the ID it was given.
func TestFindMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		l := NewLog(Config{Process: "agent-1", Store: s, MaxHeld: 2})
		var ids []string
		for i := range 50 {
			ids = append(ids, refuse(l, i))
		}
		require.NoError(t, l.Drain(t.Context()))
		require.Less(t, len(find(t, s, Query{}).Records), 10)
		for _, id := range ids {
			require.Len(t, find(t, s, Query{ID: id}).Records, 1, id)
		}
		require.NotEmpty(t, find(t, s, Query{Caller: netip.MustParsePrefix("10.0.33.7/32")}).Records)
		require.Empty(t, find(t, s, Query{Caller: netip.MustParsePrefix("172.16.0.1/32")}).Records)
		require.Empty(t, find(t, s, Query{ID: "agent-1/0/zz.1"}).Records)
	})
}

func TestFindReportsUnreadableBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		l := NewLog(Config{Process: "agent-1", Store: s})
		refuse(l, 1)
		require.NoError(t, l.Drain(t.Context()))
		_, err := s.Create(t.Context(), KindAt(time.Now()), "other", []byte("no batch"))
		require.NoError(t, err)
		a, err := NewReader(s).Find(t.Context(), Query{From: time.Now(), To: time.Now()})
		require.NoError(t, err)
		require.Len(t, a.Records, 1)
		require.Len(t, a.Unreadable, 1)
		require.ErrorContains(t, a.Unreadable[0], "other")
	})
}
