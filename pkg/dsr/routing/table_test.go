package routing

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
)

var address = netip.MustParseAddrPort("198.18.0.1:443")

func TestRouteByAddress(t *testing.T) {
	table := NewTable(configuration.Configuration{Version: 7, Routes: []configuration.Route{{Name: "r", Destination: address, Shares: []configuration.Share{{Service: "route-svc", Weight: 1}}}}})
	require.Equal(t, "route-svc", Service(table.Route(address), 12345))
	require.Nil(t, table.Route(netip.MustParseAddrPort("198.18.0.1:444")))
	require.Equal(t, DefaultIdleTimeout, table.IdleTimeout())
}

func TestNilTableHasNoRoutes(t *testing.T) {
	var table *Table
	require.Nil(t, table.Route(address))
	require.Zero(t, table.Version())
}

func TestSharesFollowTheirWeights(t *testing.T) {
	r := configuration.Route{Shares: []configuration.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none"}}}
	counts := map[string]int{}
	for i := range uint64(10000) {
		counts[Service(&r, i<<20)]++
	}
	require.Equal(t, map[string]int{"a": 9000, "b": 1000}, counts)
	require.Empty(t, Service(&configuration.Route{}, 1), "a route without a service has no share")
}
