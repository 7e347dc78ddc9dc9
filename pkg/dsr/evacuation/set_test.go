package evacuation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestASetIsSortedAndUnique(t *testing.T) {
	s := NewSet(3, []string{"zarqa", "marka", "zarqa"})
	require.Equal(t, Set{Version: 3, DataCentres: []string{"marka", "zarqa"}}, s)
	require.True(t, s.Contains("marka"))
	require.False(t, s.Contains("sahab"))
	require.Equal(t, s, FromMembers(3, map[string]bool{"zarqa": true, "marka": true}))
}

func TestTheLaterSetReplacesTheEarlierOne(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b uint64
		want bool
	}{
		{"later", 5, 4, true},
		{"equal", 4, 4, false},
		{"earlier", 3, 4, false},
		{"known after unknown", 1, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Set{Version: c.a}.Replaces(Set{Version: c.b}))
		})
	}
	require.False(t, Set{}.Known())
}

func TestUnion(t *testing.T) {
	require.Equal(t, NewSet(7, []string{"a", "b", "c"}), NewSet(7, []string{"b", "a"}).Union(NewSet(9, []string{"c", "b"})))
	require.True(t, NewSet(7, []string{"a"}).Union(Set{}).Equal(NewSet(7, []string{"a"})))
}

func TestChangesBetweenTwoSets(t *testing.T) {
	before, after := NewSet(1, []string{"a", "b"}), NewSet(2, []string{"b", "c"})
	require.ElementsMatch(t, []string{"a", "c"}, after.Changed(before))
	require.Empty(t, after.Changed(NewSet(9, []string{"c", "b"})))
	require.True(t, after.Equal(NewSet(9, []string{"c", "b"})))
}
