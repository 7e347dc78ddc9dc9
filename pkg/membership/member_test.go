package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testTime = time.UnixMilli(1_700_000_000_000).UTC()

func genMember(id string) *rapid.Generator[Member] {
	return rapid.Custom(func(t *rapid.T) Member {
		m := Member{
			ID:          id,
			Role:        RoleAgent,
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(1, 3).Draw(t, "sequence"),
			State:       State(rapid.IntRange(int(StateJoining), int(StateLeft)).Draw(t, "state")),
			Slots:       rapid.Uint32Range(1, 2).Draw(t, "slots"),
			Changed:     testTime,
		}
		m.normalise()
		return m
	})
}

// Tables only converge if merging is commutative, associative and idempotent.
func TestMergedIsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := genMember("t1")
		a, b, c := g.Draw(t, "a"), g.Draw(t, "b"), g.Draw(t, "c")
		require.Equal(t, a, merged(a, a))
		require.Equal(t, merged(a, b), merged(b, a))
		require.Equal(t, merged(merged(a, b), c), merged(a, merged(b, c)))
	})
}

func TestMergeFaults(t *testing.T) {
	rec := func(inc, seq uint64, s State) Member {
		return Member{ID: "t1", Role: RoleAgent, Incarnation: inc, Sequence: seq, State: s, Changed: testTime}
	}
	cases := map[string]struct {
		records []Member
		want    State
	}{
		"later sequence wins":                 {[]Member{rec(1, 2, StateActive), rec(1, 1, StateJoining)}, StateActive},
		"later incarnation wins":              {[]Member{rec(1, 9, StateLeft), rec(2, 1, StateJoining)}, StateJoining},
		"old incarnation after restart":       {[]Member{rec(2, 1, StateActive), rec(1, 9, StateDead)}, StateActive},
		"draining is irreversible":            {[]Member{rec(1, 2, StateDraining), rec(1, 3, StateActive)}, StateDraining},
		"draining that arrives late persists": {[]Member{rec(1, 3, StateActive), rec(1, 2, StateDraining)}, StateDraining},
		"draining ends with the incarnation":  {[]Member{rec(1, 2, StateDraining), rec(2, 1, StateActive)}, StateActive},
		"dead at the same sequence":           {[]Member{rec(1, 2, StateActive), rec(1, 2, StateDead)}, StateDead},
		"higher sequence refutes dead":        {[]Member{rec(1, 2, StateDead), rec(1, 3, StateActive)}, StateActive},
		"dead at a lower sequence is ignored": {[]Member{rec(1, 3, StateActive), rec(1, 2, StateDead)}, StateActive},
		"dead while draining, then refuted":   {[]Member{rec(1, 2, StateDraining), rec(1, 2, StateDead), rec(1, 3, StateActive)}, StateDraining},
		"left can't be refuted":               {[]Member{rec(1, 2, StateLeft), rec(1, 3, StateActive)}, StateLeft},
		"left ends with the incarnation":      {[]Member{rec(1, 2, StateLeft), rec(3, 1, StateJoining)}, StateJoining},
		"left wins over dead":                 {[]Member{rec(1, 2, StateDead), rec(1, 3, StateLeft)}, StateLeft},
		"record without incarnation rejected": {[]Member{rec(1, 1, StateActive), rec(0, 9, StateLeft)}, StateActive},
		"record without state rejected":       {[]Member{rec(1, 1, StateActive), rec(1, 9, 0)}, StateActive},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(TableConfig{})
			for _, r := range c.records {
				table.Merge(r, testTime)
			}
			m, ok := table.Get("t1")
			require.True(t, ok)
			require.Equal(t, c.want, m.State)
		})
	}
}
