package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func readStatus(t *testing.T, s objectapi.Store, name string) resource.ServiceStatus {
	o, err := s.Get(t.Context(), resource.KindServiceStatus, name)
	require.NoError(t, err)
	var st resource.ServiceStatus
	require.NoError(t, json.Unmarshal(o.Value, &st))
	return st
}

func TestChangesOfOneWindowMakeOneRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		ctx, stop := context.WithCancel(t.Context())
		a := NewAdopter(zerolog.Nop())
		f := &Follower{Store: s, Adopter: a, Log: zerolog.Nop()}
		go func() { _ = f.Run(ctx) }()
		c := &Compiler{Store: s, Acks: fixedAcks{3, 3}, Log: zerolog.Nop()}
		go func() { _ = c.Duty(ctx, lease.Grant{Holder: "a", Term: 1}) }()
		time.Sleep(time.Second)
		for i := range 4 {
			putService(t, s, testService(fmt.Sprintf("svc-%d", i), fmt.Sprintf("10.0.0.%d", i%3), 0).Service)
		}
		time.Sleep(5 * time.Second)
		r, _ := a.Current()
		require.EqualValues(t, 1, r.Number)
		require.Len(t, r.Services, 3)
		st := readStatus(t, s, "svc-1")
		require.Equal(t, resource.InForce{Adopted: 3, Known: 3}, st.InForce)
		require.EqualValues(t, 1, st.AcceptedRevision)
		st = readStatus(t, s, "svc-3")
		refused, _ := st.Condition(resource.ConditionAccepted)
		require.Equal(t, resource.ReasonAddressConflict, refused.Reason)
		require.Contains(t, refused.Message, "svc-0")
		stop()
		synctest.Wait()
	})
}
