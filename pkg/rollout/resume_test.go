package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func TestResumeUsesSharesInForce(t *testing.T) {
	r := testRollout()
	first, second := r.Steps[0].Weight, r.Steps[1].Weight
	shares := func(weight uint32) []resource.Share {
		return []resource.Share{{Version: r.From, Weight: fullWeight - weight}, {Version: r.To, Weight: weight}}
	}
	at := func(step int, weight uint32) resource.RolloutStatus {
		return resource.RolloutStatus{From: r.From, To: r.To, Step: step, Weight: weight, State: resource.RolloutProgressing}
	}
	for _, c := range []struct {
		name   string
		stored resource.RolloutStatus
		shares []resource.Share
		state  resource.RolloutState
		step   int
		weight uint32
	}{
		{"nothing is lost", at(0, first), shares(first), resource.RolloutProgressing, 0, first},
		{"a step is lost", at(0, first), shares(second), resource.RolloutProgressing, 1, second},
		{"all steps are lost", resource.RolloutStatus{}, shares(second), resource.RolloutProgressing, 1, second},
		{"the completion is lost", at(0, first), shares(fullWeight), resource.RolloutCompleted, len(r.Steps) - 1, fullWeight},
		{"the rollback is lost", at(1, second), shares(0), resource.RolloutRolledBack, 1, 0},
		{"it has not begun", resource.RolloutStatus{}, shares(0), resource.RolloutProgressing, 0, 0},
		{"the shares are not of the rollout", at(0, first), nil, resource.RolloutProgressing, 0, first},
		{"no step has the share in force", at(0, first), shares(second + 1), resource.RolloutProgressing, 0, first},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Resume(r, c.stored, c.shares, time.Unix(1000, 0))
			require.Equal(t, c.state, s.State)
			require.Equal(t, c.step, s.Step)
			require.Equal(t, c.weight, s.Weight)
		})
	}
}

func TestRolledBackVersionGetsNoFlowsWhenRollbackIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{Era: 1})
		term := func(era uint64) lease.Grant { return lease.Grant{Holder: "h", Term: store.Version(era, 1)} }
		c := newController(s, 0.01)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(t, c.Duty(ctx, term(1)))
		require.Equal(t, resource.RolloutProgressing, readRecord(t, s).State)
		older := s.Snapshot()
		ctx, cancel = context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		require.NoError(t, c.Duty(ctx, term(1)))
		require.Equal(t, resource.RolloutRolledBack, readRecord(t, s).State)
		r := testRollout()
		s.Restore(older)
		list, _, err := s.List(t.Context(), Kind)
		require.NoError(t, err)
		states, err := ReadStates(list, 2)
		require.NoError(t, err)
		require.Empty(t, states, "states written in an earlier era are ignored")
		c.Configs = func() []resource.ServiceConfig {
			inForce := []resource.Share{{Version: r.From, Weight: fullWeight}, {Version: r.To}}
			return []resource.ServiceConfig{{Name: "svc", Spec: resource.ServiceSpec{Rollout: &r, Shares: inForce}}}
		}
		ctx, cancel = context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, c.Duty(ctx, term(2)))
		require.Equal(t, resource.RolloutRolledBack, readRecord(t, s).State)
	})
}
