package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
)

func TestLeaseEndsWithEraOfItsTerm(t *testing.T) {
	for _, c := range []struct {
		name string
		// read is the result of the holder's read after its renewal failed in the next era.
		read func(sent Record) Observation
		// term is the term that it acquires next; 0 when it has to wait.
		term uint64
	}{
		{"the renewal replaced another object", func(r Record) Observation {
			return Observation{Kind: ObservedObject, Version: store.Version(2, 5), Record: r}
		}, store.Version(2, 1)},
		{"the lease is lost", func(Record) Observation {
			return Observation{Kind: ObservedAbsent}
		}, 1},
		{"an earlier lease of this process came back", func(r Record) Observation {
			r.Token = "a/0"
			return Observation{Kind: ObservedObject, Version: store.Version(2, 4), Record: r}
		}, store.Version(2, 1)},
		{"an earlier lease of another came back", func(Record) Observation {
			return Observation{Kind: ObservedObject, Version: store.Version(2, 4), Record: heldByOther("b/9")}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(stateConfig)
			s.Step(at(0), Observation{})
			s.Step(at(0), Observation{Kind: ObservedAbsent})
			a := s.Step(at(0), Observation{Kind: ObservedWritten, Version: store.Version(1, 1)})
			require.Equal(t, store.Version(1, 1), a.Record.Term, "the era is known from the first write")
			s.Step(at(0), Observation{Kind: ObservedWritten, Version: store.Version(1, 2)})
			_, held := s.Term(at(0))
			require.True(t, held)
			a = s.Step(at(4), Observation{})
			require.Equal(t, ActionUpdate, a.Kind)
			require.Equal(t, ActionRead, s.Step(at(4), Observation{Kind: ObservedConflict}).Kind)
			a = s.Step(at(5), c.read(a.Record))
			_, held = s.Term(at(5))
			require.False(t, held)
			if c.term == 0 {
				require.Equal(t, ActionWait, a.Kind)
				return
			}
			require.Equal(t, c.term, a.Record.Term)
		})
	}
}

func TestClaimOfEarlierEraIsFenced(t *testing.T) {
	s := store.New(store.Config{Era: 1})
	former := Grant{Holder: "a", Term: store.Version(1, 7)}
	f, err := Claim[stampedText](t.Context(), s, "thing", "x", former)
	require.NoError(t, err)
	older := s.Snapshot()
	require.NoError(t, f.Write(t.Context(), stampedText{Text: "lost"}))
	s.Restore(older)
	_, err = Claim[stampedText](t.Context(), s, "thing", "x", former)
	require.ErrorIs(t, err, ErrFenced)
	require.Error(t, f.Write(t.Context(), stampedText{Text: "late"}))
	later, err := Claim[stampedText](t.Context(), s, "thing", "x", Grant{Holder: "b", Term: store.Version(2, 1)})
	require.NoError(t, err)
	require.Empty(t, later.Value().Text)
	require.ErrorIs(t, f.Write(t.Context(), stampedText{Text: "late"}), ErrFenced)
}

// stampedText is the content of a fenced object.
type stampedText struct {
	Text   string
	Holder string
	Term   uint64
}

func (s *stampedText) Grant() Grant { return Grant{Holder: s.Holder, Term: s.Term} }

func (s *stampedText) SetGrant(g Grant) { s.Holder, s.Term = g.Holder, g.Term }
