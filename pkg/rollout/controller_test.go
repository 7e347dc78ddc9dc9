package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// risingSource counts 50 requests a second for each version; 0.1% of the old version's and the fraction failing of the
// new version's fail.
type risingSource struct {
	begin   time.Time
	failing float64
}

func (s risingSource) Read(context.Context, resource.ServiceConfig) (StepCounts, error) {
	n := 50 * time.Since(s.begin).Seconds()
	return StepCounts{
		Old: Counts{Requests: uint64(n), Failures: uint64(n * 0.001)},
		New: Counts{Requests: uint64(n), Failures: uint64(n * s.failing)},
	}, nil
}

func readRecord(t *testing.T, s *store.Store) Record {
	list, _, err := s.List(t.Context(), Kind)
	require.NoError(t, err)
	require.Len(t, list, 1)
	states, err := ReadStates(list, 0)
	require.NoError(t, err)
	return Record{RolloutStatus: states["svc"]}
}

func newController(s *store.Store, failing float64) *Controller {
	r := testRollout()
	return &Controller{
		Store:  s,
		Source: risingSource{begin: time.Now(), failing: failing},
		Log:    zerolog.Nop(),
		Configs: func() []resource.ServiceConfig {
			return []resource.ServiceConfig{{Name: "svc", Spec: resource.ServiceSpec{Rollout: &r}}, {Name: "plain"}}
		},
	}
}

func TestControllerTakesAllStepsAcrossHoldersAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{Seed: 3})
		s.SetFaults(store.Faults{LoseShare: 0.3, DropShare: 0.2})
		c := newController(s, 0.001)
		for term := uint64(1); term <= 40; term++ {
			ctx, cancel := context.WithTimeout(t.Context(), 7*time.Minute)
			_ = c.Duty(ctx, lease.Grant{Holder: "h", Term: term})
			cancel()
		}
		require.Equal(t, resource.RolloutCompleted, readRecord(t, s).State)
	})
}

func TestControllerRollsBackAWorseVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		require.NoError(t, newController(s, 0.01).Duty(ctx, lease.Grant{Holder: "h", Term: 1}))
		require.Equal(t, resource.RolloutRolledBack, readRecord(t, s).State)
	})
}

func TestFormerHolderTakesNoStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		c := newController(s, 0.001)
		former := newSession(c.withDefaults(), lease.Grant{Holder: "a", Term: 1})
		require.NoError(t, former.tick(t.Context()))
		before := readRecord(t, s)
		later := newSession(c.withDefaults(), lease.Grant{Holder: "b", Term: 2})
		require.NoError(t, later.tick(t.Context()))
		time.Sleep(30 * time.Minute)
		require.ErrorIs(t, former.tick(t.Context()), lease.ErrFenced)
		require.Equal(t, before, readRecord(t, s))
	})
}
