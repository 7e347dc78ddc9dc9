package membership_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func target(id, dc string, sequence uint64, state membership.State) membership.Member {
	return membership.Member{
		ID: id, Role: membership.RoleAgent, Incarnation: 1, Sequence: sequence, State: state, Region: "amman-east",
		DataCentre: dc, Service: "route-svc", Slots: 3, Changed: time.Now(), PacketAddr: netip.MustParseAddrPort("10.0.0.1:7"),
	}
}

func newWriter(s objectapi.Store, members ...membership.Member) *membership.GroupWriter {
	table := membership.NewTable(membership.TableConfig{})
	for _, m := range members {
		table.Merge(m, time.Now())
	}
	return &membership.GroupWriter{Store: s, Table: table, DataCentre: "marka-hall", Log: zerolog.Nop()}
}

// hold runs the duty in the given term until stop is called, which returns the duty's error.
func hold(w *membership.GroupWriter, term uint64) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Duty(ctx, lease.Grant{Holder: fmt.Sprint("holder", term), Term: term}) }()
	return func() error {
		cancel()
		return <-done
	}
}

func readIDs(t *testing.T, s objectapi.Store) []string {
	t.Helper()
	members, err := membership.ReadGroups(t.Context(), s)
	require.NoError(t, err)
	var ids []string
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

func TestGroupHoldsLiveMembersOfItsDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		active := target("t1", "marka-hall", 1, membership.StateActive)
		w := newWriter(s, active, target("t2", "marka-hall", 1, membership.StateDead), target("t3", "sahab-hall", 1, membership.StateActive))
		stop := hold(w, 1)
		time.Sleep(5 * time.Second)
		members, err := membership.ReadGroups(t.Context(), s)
		require.NoError(t, err)
		want, _ := w.Table.Get("t1")
		require.Equal(t, []membership.Member{want}, members)
		require.NoError(t, stop())
	})
}

func TestGroupIsWrittenOnChangeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		w := newWriter(s, target("t1", "marka-hall", 1, membership.StateActive))
		stop := hold(w, 1)
		time.Sleep(time.Minute)
		before := s.Applied()
		w.Table.Merge(target("t9", "sahab-hall", 1, membership.StateActive), time.Now())
		time.Sleep(time.Minute)
		require.Equal(t, before, s.Applied(), "members of another data centre cause no writes")
		for i := range 100 {
			w.Table.Merge(target("t1", "marka-hall", uint64(i+2), membership.StateActive), time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		writes := s.Applied() - before
		require.Positive(t, writes)
		require.LessOrEqual(t, writes, uint64(11), "100 changes in 10 s cause at most one write per second")
		require.NoError(t, stop())
	})
}

func TestNewHolderKeepsStoredMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		stop := hold(newWriter(s, target("t1", "marka-hall", 1, membership.StateActive)), 1)
		time.Sleep(2 * time.Second)
		require.NoError(t, stop())
		stop = hold(newWriter(s, target("t2", "marka-hall", 1, membership.StateActive)), 2)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"t1", "t2"}, readIDs(t, s))
		require.NoError(t, stop())
	})
}

func TestFormerHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		former := newWriter(s, target("t1", "marka-hall", 1, membership.StateActive))
		stopFormer := hold(former, 1)
		time.Sleep(2 * time.Second)
		stop := hold(newWriter(s, target("t2", "marka-hall", 1, membership.StateActive)), 2)
		time.Sleep(2 * time.Second)
		former.Table.Merge(target("t1", "marka-hall", 2, membership.StateLeft), time.Now())
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, stopFormer(), lease.ErrFenced)
		require.Equal(t, []string{"t1", "t2"}, readIDs(t, s))
		require.NoError(t, stop())
	})
}

func TestGroupOutlivesStoreFaults(t *testing.T) {
	cases := map[string]store.Faults{
		"outage":         {Outage: true},
		"lost replies":   {LoseShare: 0.5},
		"dropped writes": {DropShare: 0.5},
		"slow":           {Latency: 3 * time.Second},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Config{Seed: 3})
				w := newWriter(s, target("t1", "marka-hall", 1, membership.StateActive))
				stop := hold(w, 1)
				time.Sleep(2 * time.Second)
				s.SetFaults(faults)
				for i := range 20 {
					w.Table.Merge(target(fmt.Sprintf("t%d", i+2), "marka-hall", 1, membership.StateActive), time.Now())
					time.Sleep(time.Second)
				}
				s.SetFaults(store.Faults{})
				time.Sleep(30 * time.Second)
				require.Len(t, readIDs(t, s), 21)
				require.NoError(t, stop())
			})
		})
	}
}

func TestLargeGroupIsSplitAndShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		var members []membership.Member
		for i := range 3000 {
			m := target(fmt.Sprintf("t%04d", i), "marka-hall", 1, membership.StateActive)
			m.Version = strings.Repeat("v", 200)
			members = append(members, m)
		}
		w := newWriter(s, members...)
		stop := hold(w, 1)
		time.Sleep(2 * time.Second)
		objects, _, err := s.List(t.Context(), resource.KindMembers)
		require.NoError(t, err)
		require.Greater(t, len(objects), 1)
		for _, o := range objects {
			require.Less(t, len(o.Value), objectapi.MaxValueSize)
		}
		require.Len(t, readIDs(t, s), 3000)
		for _, m := range members[10:] {
			w.Table.Merge(target(m.ID, "marka-hall", 2, membership.StateLeft), time.Now())
		}
		time.Sleep(2 * time.Second)
		require.Len(t, readIDs(t, s), 10)
		require.NoError(t, stop())
	})
}

func TestReadGroupsReportsDecodeErrors(t *testing.T) {
	s := store.New(store.Config{})
	_, err := s.Create(t.Context(), resource.KindMembers, "bad", []byte(`{"members":7}`))
	require.NoError(t, err)
	_, err = s.Create(t.Context(), resource.KindMembers, "marka-hall", []byte(`{"dataCentre":"marka-hall","parts":1,"members":[{"id":"t1"}]}`))
	require.NoError(t, err)
	members, err := membership.ReadGroups(t.Context(), s)
	require.ErrorContains(t, err, "bad")
	require.Len(t, members, 1)
}
