package dsrd

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
)

func TestABalancerKnowsTheStateOfItsServices(t *testing.T) {
	b := testBalancer(t)
	now := time.Now()
	require.Empty(t, b.serviceStates(now), "before it has a configuration")
	b.core.SetRoutes(now, routing.NewTable(configuration.Configuration{Version: 1, Services: []configuration.Service{{Name: "a", MaxConnections: 2}}}))
	for i, service := range []string{"a", "b"} {
		b.core.FromAgent(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 9), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: service,
			Announcement: &dsrpb.Announcement{State: dsrpb.State_STATE_READY, Slots: 1, Incarnation: 1, Flows: 2},
		})
	}
	states := b.serviceStates(now)
	require.Len(t, states, 2)
	require.True(t, states["a"].saturated())
	require.False(t, states["b"].saturated())
}
