package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
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
		c := &Compiler{Store: s, Acks: fixedAcks{Adopted: 3, Known: 3}, Log: zerolog.Nop()}
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

// growingAcks counts one balancer until it is settled, and then all.
type growingAcks struct{ settled atomic.Bool }

func (g *growingAcks) InForce(uint64) resource.InForce {
	if g.settled.Load() {
		return resource.InForce{Adopted: 5, Known: 5}
	}
	return resource.InForce{Adopted: 1, Known: 1, AtLeast: true}
}

// The first holder of the duty may know only itself. It must not report a service as in force on all balancers then.
func TestServiceIsNotReportedInForceWhileBalancersJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		ctx, stop := context.WithCancel(t.Context())
		acks := &growingAcks{}
		c := &Compiler{Store: s, Acks: acks, Log: zerolog.Nop()}
		go func() { _ = c.Duty(ctx, lease.Grant{Holder: "a", Term: 1}) }()
		putService(t, s, testService("svc-0", "10.0.0.1", 0).Service)
		time.Sleep(2 * time.Second)
		st := readStatus(t, s, "svc-0")
		require.EqualValues(t, 1, st.AcceptedRevision, "acceptance does not wait")
		require.Equal(t, "1 of at least 1", st.InForce.String())
		condition, _ := st.Condition(resource.ConditionInForce)
		require.Equal(t, resource.StatusFalse, condition.Status)
		acks.settled.Store(true)
		time.Sleep(2 * time.Second)
		st = readStatus(t, s, "svc-0")
		require.Equal(t, resource.InForce{Adopted: 5, Known: 5}, st.InForce)
		condition, _ = st.Condition(resource.ConditionInForce)
		require.Equal(t, resource.StatusTrue, condition.Status)
		stop()
		synctest.Wait()
	})
}
