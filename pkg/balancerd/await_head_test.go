package balancerd

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func TestDutyWaitsForTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		var adopted atomic.Uint64
		require.NoError(t, awaitHead(t.Context(), s, adopted.Load), "nothing is accepted yet")
		b, err := json.Marshal(resource.Head{Revision: 7})
		require.NoError(t, err)
		_, err = s.Create(t.Context(), resource.KindHead, resource.HeadName, b)
		require.NoError(t, err)
		adopted.Store(6)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.ErrorIs(t, awaitHead(ctx, s, adopted.Load), context.DeadlineExceeded)
		time.AfterFunc(time.Second, func() { adopted.Store(8) })
		require.NoError(t, awaitHead(t.Context(), s, adopted.Load))
		s.SetFaults(store.Faults{Outage: true})
		require.ErrorIs(t, awaitHead(t.Context(), s, adopted.Load), objectapi.ErrUnavailable)
	})
}
