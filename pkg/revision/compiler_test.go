package revision_test

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
	"github.com/auburnwood/auburnwood/pkg/revision"
)

func newService(name, ip string) resource.Service {
	return resource.Service{Name: name, Spec: resource.ServiceSpec{
		Addresses:  []resource.Address{{IP: ip, Port: 80}},
		Mode:       resource.ModeStream,
		Preference: resource.PreferFlows,
	}}
}

func encodeService(t require.TestingT, s resource.Service) []byte {
	b, err := json.Marshal(s)
	require.NoError(t, err)
	return b
}

func createService(t require.TestingT, s objectapi.Store, v resource.Service) objectapi.Object {
	o, err := s.Create(context.Background(), resource.KindService, v.Name, encodeService(t, v))
	require.NoError(t, err)
	return o
}

func readHead(t require.TestingT, s objectapi.Store) resource.Head {
	o, err := s.Get(context.Background(), resource.KindHead, resource.HeadName)
	require.NoError(t, err)
	var h resource.Head
	require.NoError(t, json.Unmarshal(o.Value, &h))
	return h
}

func readStatus(t require.TestingT, s objectapi.Store, name string) resource.ServiceStatus {
	o, err := s.Get(context.Background(), resource.KindServiceStatus, name)
	require.NoError(t, err)
	var st resource.ServiceStatus
	require.NoError(t, json.Unmarshal(o.Value, &st))
	return st
}

// countedAcks counts adopters.
type countedAcks struct{ adopters []*revision.Adopter }

func (c *countedAcks) InForce(number uint64) (n, m int) {
	for _, a := range c.adopters {
		if a.Number() >= number {
			n++
		}
	}
	return n, len(c.adopters)
}

func TestChangeIsAcceptedAndInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		ctx, stop := context.WithCancel(t.Context())
		acks := &countedAcks{}
		for range 3 {
			a := revision.NewAdopter(zerolog.Nop())
			acks.adopters = append(acks.adopters, a)
			f := &revision.Follower{Store: s, Adopter: a, Log: zerolog.Nop()}
			go func() { _ = f.Run(ctx) }()
		}
		c := &revision.Compiler{Store: s, Acks: acks, Log: zerolog.Nop()}
		go func() { _ = c.Duty(ctx, lease.Grant{Holder: "a", Term: 1}) }()
		time.Sleep(time.Second)
		for i := range 4 {
			createService(t, s, newService(fmt.Sprintf("svc-%d", i), fmt.Sprintf("10.0.0.%d", i%3)))
		}
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 1, readHead(t, s).Revision, "changes of one window make one revision")
		for _, a := range acks.adopters {
			r, ok := a.Current()
			require.True(t, ok)
			require.Len(t, r.Services, 3)
		}
		st := readStatus(t, s, "svc-1")
		require.Equal(t, resource.InForce{Adopted: 3, Known: 3}, st.InForce)
		require.EqualValues(t, 1, st.AcceptedRevision)
		refused, _ := ptr(readStatus(t, s, "svc-3")).Condition(resource.ConditionAccepted)
		require.Equal(t, resource.ReasonAddressConflict, refused.Reason)
		require.Contains(t, refused.Message, "svc-0")
		stop()
		synctest.Wait()
	})
}

func ptr[T any](v T) *T { return &v }
