package balancerd

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/settings"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

// Calls of the compile duty must neither wait for the balancer's other calls nor be limited by their budget.
func TestCompileDutyHasACallBudgetOfItsOwn(t *testing.T) {
	api := store.New(store.Config{})
	s := httptest.NewServer(store.Handler(api))
	defer s.Close()
	o := Options{Settings: settings.DefaultBalancer(), Env: telemetry.Env{Scope: tally.NoopScope}}
	o.Settings.ObjectAPI.URL = s.URL
	o.Settings.ObjectAPI.CallsPerSecond = 0.001
	d := &Daemon{o: o.withDefaults()}
	d.openStores()
	get := func(s objectapi.Store) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := s.Get(ctx, "thing", "a")
		return err
	}
	for range o.Settings.ObjectAPI.Burst {
		require.ErrorIs(t, get(d.store), objectapi.ErrNotFound)
	}
	require.ErrorIs(t, get(d.store), objectapi.ErrUnavailable, "the budget is spent")
	for range compileCallBurst {
		require.ErrorIs(t, get(d.compileStore), objectapi.ErrNotFound)
	}
}
