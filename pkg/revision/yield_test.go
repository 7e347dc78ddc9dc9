package revision

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// slowStatuses delays each new status, as a call budget does, counts them and calls first before the first one.
type slowStatuses struct {
	objectapi.Store
	pause  time.Duration
	first  func()
	writes int
}

func (s *slowStatuses) Create(ctx context.Context, k objectapi.Kind, name string, v []byte) (objectapi.Object, error) {
	if k == resource.KindServiceStatus {
		s.writes++
		if s.writes == 1 {
			s.first()
		}
		time.Sleep(s.pause)
	}
	return s.Store.Create(ctx, k, name, v)
}

// A change that arrives while many statuses are due must not wait until all of them are written, and statuses must
// still be written when changes never stop.
func TestChangeDoesNotWaitForStatuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const services, pause = 30, 100 * time.Millisecond
		slow := &slowStatuses{Store: store.New(store.Config{}), pause: pause}
		c := startSession(t, slow, lease.Grant{Holder: "a", Term: 1})
		for i := range services {
			putService(t, slow, testService(fmt.Sprintf("svc-%02d", i), fmt.Sprintf("10.0.0.%d", i+1), 0).Service)
		}
		require.NoError(t, c.round(t.Context()))
		slow.first = c.raiseSignal
		for slow.writes < services {
			before, began := slow.writes, time.Now()
			require.NoError(t, c.wait(t.Context()))
			require.LessOrEqual(t, time.Since(began), c.cfg.Interval+2*minStatusesBeforeYield*pause)
			require.Greater(t, slow.writes, before, "no status is written while changes go on")
			c.raiseSignal()
		}
	})
}
