package revision

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// statusCounter counts writes of statuses and calls first at the first one.
type statusCounter struct {
	objectapi.Store
	first  func()
	writes int
}

func (s *statusCounter) Create(ctx context.Context, k objectapi.Kind, name string, v []byte) (objectapi.Object, error) {
	if k == resource.KindServiceStatus {
		s.writes++
		if s.writes == 1 {
			s.first()
		}
	}
	return s.Store.Create(ctx, k, name, v)
}

// A change that comes while many statuses are due must not wait until all of them are written, since calls of the store
// are few; and statuses must go on when changes never stop.
func TestChangeDoesNotWaitForStatuses(t *testing.T) {
	counter := &statusCounter{Store: store.New(store.Config{})}
	c := startSession(t, counter, lease.Grant{Holder: "a", Term: 1})
	for i := range 30 {
		putService(t, counter, testService(fmt.Sprintf("svc-%02d", i), fmt.Sprintf("10.0.0.%d", i+1), 0).Service)
	}
	require.NoError(t, c.round(t.Context()))
	counter.first = c.raise
	require.NoError(t, c.wait(t.Context()))
	require.LessOrEqual(t, counter.writes, statusesBetween)
	for before := 0; counter.writes < 30; before = counter.writes {
		c.raise()
		require.NoError(t, c.wait(t.Context()))
		require.Greater(t, counter.writes, before, "no status is written while changes go on")
	}
}
