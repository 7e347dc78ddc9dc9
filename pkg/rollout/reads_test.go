package rollout

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// countedSource counts the reads, and returns an error for those for which fails returns true.
type countedSource struct {
	Source
	reads int
	fails func(read int) bool
}

func (s *countedSource) Read(ctx context.Context, c resource.ServiceConfig) (StepCounts, error) {
	s.reads++
	if s.fails(s.reads) {
		return StepCounts{}, errors.New("no watcher answered")
	}
	return s.Source.Read(ctx, c)
}

// dutyTime runs the duty of a term for d.
func dutyTime(t *testing.T, c *Controller, term uint64, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	require.NoError(t, c.Duty(ctx, lease.Grant{Holder: "h", Term: term}))
}

func TestEndedRolloutReadsNoCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		c := newController(s, 0.01)
		source := &countedSource{Source: c.Source, fails: func(int) bool { return false }}
		c.Source = source
		dutyTime(t, c, 1, time.Hour)
		require.Equal(t, resource.RolloutRolledBack, readRecord(t, s).State)
		require.Positive(t, source.reads)
		before, record := source.reads, readRecord(t, s)
		dutyTime(t, c, 2, time.Hour)
		require.Equal(t, before, source.reads)
		require.Equal(t, record, readRecord(t, s), "the next holder does not change a final state")
	})
}

// A later reading makes up for failed ones, so that losing nine of ten loses no evidence.
func TestFailedReadingsLoseNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		c := newController(s, 0.001)
		c.Source = &countedSource{Source: c.Source, fails: func(read int) bool { return read%10 != 1 }}
		dutyTime(t, c, 1, time.Hour)
		require.Equal(t, resource.RolloutCompleted, readRecord(t, s).State)
	})
}

func TestWithoutReadingsNoStepIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		c := newController(s, 0.001)
		c.Source = &countedSource{fails: func(int) bool { return true }}
		dutyTime(t, c, 1, 12*time.Hour)
		r := readRecord(t, s)
		require.Equal(t, resource.RolloutProgressing, r.State)
		require.Zero(t, r.Step, "the first step is entered and never evaluated")
	})
}

// A rollout that is removed from the specification and configured again starts anew, even if the lease holder changed.
func TestRemovedRolloutStateIsCleared(t *testing.T) {
	for name, term := range map[string]uint64{"same holder": 1, "next holder": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Config{})
				c := newController(s, 0.01)
				asked, removed := c.Configs, false
				c.Configs = func() []resource.ServiceConfig {
					if removed {
						return []resource.ServiceConfig{{Name: "plain"}}
					}
					return asked()
				}
				g := lease.Grant{Holder: "h", Term: 1}
				session := newSession(c.withDefaults(), g)
				for readRecordOrNone(t, s).State != resource.RolloutRolledBack {
					require.NoError(t, session.tick(t.Context()))
					time.Sleep(DefaultTick)
				}
				removed = true
				if term != g.Term {
					session = newSession(c.withDefaults(), lease.Grant{Holder: "i", Term: term})
				}
				require.NoError(t, session.tick(t.Context()))
				require.Zero(t, readRecord(t, s))
				removed = false
				require.NoError(t, session.tick(t.Context()))
				require.EqualValues(t, 5, readRecord(t, s).Weight)
			})
		})
	}
}

func readRecordOrNone(t *testing.T, s *store.Store) Record {
	list, _, err := s.List(t.Context(), Kind)
	require.NoError(t, err)
	if len(list) == 0 {
		return Record{}
	}
	return readRecord(t, s)
}
