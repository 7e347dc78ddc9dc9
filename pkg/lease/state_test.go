package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

var stateConfig = Config{Name: "compile", Holder: "a", Duration: 10 * time.Second}

func heldByOther(token string) Record {
	return Record{Holder: "b", Term: 4, Duration: resource.Duration(10 * time.Second), Token: token}
}

// at returns a time on the local clock.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestTakeoverNeedsADurationWithoutChange(t *testing.T) {
	s := NewState(stateConfig)
	require.Equal(t, ActionRead, s.Step(at(0), Observation{}).Kind)
	a := s.Step(at(0), Observation{Kind: ObservedObject, Version: 7, Record: heldByOther("b/1")})
	require.Equal(t, ActionWait, a.Kind)
	s.Step(at(5), Observation{})
	s.Step(at(5), Observation{Kind: ObservedObject, Version: 8, Record: heldByOther("b/2")})
	for _, now := range []float64{10, 14.9} {
		a = s.Step(at(now), Observation{Kind: ObservedObject, Version: 8, Record: heldByOther("b/2")})
		require.Equal(t, ActionWait, a.Kind, "renewed at 5, so not before 15")
	}
	a = s.Step(at(15), Observation{Kind: ObservedObject, Version: 8, Record: heldByOther("b/2")})
	require.Equal(t, ActionUpdate, a.Kind)
	require.EqualValues(t, 8, a.Version)
	require.EqualValues(t, 5, a.Record.Term)
}

// acquired returns a state that holds the lease since 0 at version 1.
func acquired(t *testing.T) *State {
	s := NewState(stateConfig)
	s.Step(at(0), Observation{})
	require.Equal(t, ActionCreate, s.Step(at(0), Observation{Kind: ObservedAbsent}).Kind)
	s.Step(at(0), Observation{Kind: ObservedWritten, Version: 1})
	_, held := s.Term(at(0))
	require.True(t, held)
	return s
}

func TestWritesWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		// read is the result of the holder's read after a renewal whose response was lost.
		read func(sent Record) Observation
		// next is the kind of the action that follows.
		next ActionKind
		held bool
	}{
		{"took effect", func(r Record) Observation {
			return Observation{Kind: ObservedObject, Version: 2, Record: r}
		}, ActionWait, true},
		{"not yet, sent again", func(Record) Observation {
			return Observation{Kind: ObservedObject, Version: 1, Record: Record{Holder: "a", Term: 1, Token: "a/1"}}
		}, ActionUpdate, true},
		{"another took over", func(Record) Observation {
			return Observation{Kind: ObservedObject, Version: 3, Record: heldByOther("b/1")}
		}, ActionWait, false},
		{"object deleted", func(Record) Observation {
			return Observation{Kind: ObservedAbsent}
		}, ActionCreate, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := acquired(t)
			renewal := s.Step(at(4), Observation{})
			require.Equal(t, ActionUpdate, renewal.Kind)
			require.Equal(t, ActionWait, s.Step(at(4), Observation{Kind: ObservedUnknown}).Kind)
			require.Equal(t, ActionRead, s.Step(at(5), Observation{}).Kind)
			a := s.Step(at(5), c.read(renewal.Record))
			require.Equal(t, c.next, a.Kind)
			_, held := s.Term(at(5))
			require.Equal(t, c.held, held)
			if a.Kind == ActionUpdate {
				require.Equal(t, renewal, a, "the same write with the same condition and token")
			}
		})
	}
}

func TestValidityCountsFromBeforeTheWrite(t *testing.T) {
	s := acquired(t)
	s.Step(at(4), Observation{})
	s.Step(at(7), Observation{Kind: ObservedWritten, Version: 2})
	_, held := s.Term(at(12.9))
	require.True(t, held)
	_, held = s.Term(at(13))
	require.False(t, held, "sent at 4, and the margin is a tenth of the duration")
}
