package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// syncTables runs one exchange between two tables as peers do, with the given byte limit.
func syncTables(from, to *Table, maxBytes int, now time.Time) {
	differing := from.Differing(to.Digest().Buckets)
	members, want := to.Delta(from.Summaries(differing, maxBytes), maxBytes)
	for _, m := range members {
		from.Merge(m, now)
	}
	for _, m := range from.Select(want, maxBytes) {
		to.Merge(m, now)
	}
}

func TestTablesAgreeAfterComparisons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(TableConfig{}), NewTable(TableConfig{})
		for i := range 40 {
			g := genMember(fmt.Sprintf("t%d", i%20))
			if rapid.Bool().Draw(t, "a") {
				a.Merge(g.Draw(t, "ra"), testTime)
			}
			if rapid.Bool().Draw(t, "b") {
				b.Merge(g.Draw(t, "rb"), testTime)
			}
		}
		for range 60 {
			syncTables(a, b, 300, testTime)
		}
		require.Equal(t, a.Root(), b.Root())
		require.Equal(t, a.Members(), b.Members())
	})
}

func TestDeltaKeepsByteBound(t *testing.T) {
	a, b := NewTable(TableConfig{}), NewTable(TableConfig{})
	for i := range 500 {
		a.Merge(Member{ID: fmt.Sprintf("t%d", i), Role: RoleAgent, Incarnation: 1, Sequence: 1, State: StateActive}, testTime)
	}
	var all []uint32
	for i := range uint32(bucketCount) {
		all = append(all, i)
	}
	members, want := a.Delta(b.Summaries(all, 1<<20), 1000)
	require.Empty(t, want)
	require.NotEmpty(t, members)
	require.Less(t, len(members)*recordOverhead, 1001)
}

func TestTombstonesExpire(t *testing.T) {
	table := NewTable(TableConfig{TombstoneLifetime: time.Minute})
	dead := Member{ID: "t1", Role: RoleAgent, Incarnation: 1, Sequence: 1, State: StateDead, Changed: testTime}
	table.Merge(dead, testTime)
	table.Merge(Member{ID: "t2", Role: RoleAgent, Incarnation: 1, Sequence: 1, State: StateActive, Changed: testTime}, testTime)
	empty := table.Root()
	require.Zero(t, table.Expire(testTime.Add(time.Minute)))
	require.Equal(t, 1, table.Expire(testTime.Add(61*time.Second)))
	require.NotEqual(t, empty, table.Root())
	require.False(t, table.Merge(dead, testTime.Add(61*time.Second)), "a peer that kept the tombstone longer must not restore it")
	require.Len(t, table.Members(), 1)
}

func TestSubscribersAreNotifiedOnce(t *testing.T) {
	table := NewTable(TableConfig{})
	changes, cancel := table.Subscribe()
	defer cancel()
	for i := range 10 {
		table.Merge(Member{ID: "t1", Role: RoleAgent, Incarnation: 1, Sequence: uint64(i + 1), State: StateActive}, testTime)
	}
	require.Len(t, changes, 1)
	<-changes
	require.False(t, table.Merge(Member{ID: "t1", Role: RoleAgent, Incarnation: 1, Sequence: 3, State: StateActive}, testTime))
	require.Empty(t, changes)
}

// The incrementally updated count of live agents must match the records after any sequence of changes.
func TestLiveAgentsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(TableConfig{TombstoneLifetime: time.Minute})
		table.Merge(Member{ID: "b0", Role: RoleBalancer, Incarnation: 1, Sequence: 1, State: StateActive}, testTime)
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			id := fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(t, "member"))
			switch rapid.IntRange(0, 9).Draw(t, "change") {
			case 0:
				table.Remove(id)
			case 1:
				table.Expire(testTime.Add(time.Hour))
			default:
				table.Merge(genMember(id).Draw(t, "record"), testTime)
			}
			live := 0
			for _, m := range table.Members() {
				if m.Role == RoleAgent && !m.State.Gone() {
					live++
				}
			}
			require.Equal(t, live, table.LiveAgents())
		}
	})
}
