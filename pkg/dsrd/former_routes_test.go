package dsrd

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
)

// leadTo sets the routes of a balancer: one address that leads to a service.
func leadTo(b *Balancer, version uint64, address netip.AddrPort, service string) {
	b.core.SetRoutes(b.started, routing.NewTable(configuration.Configuration{
		Version: version,
		Routes:  []configuration.Route{{Destination: address, Shares: []configuration.Share{{Service: service, Weight: 1}}}},
	}))
}

// A balancer that starts after a route has moved never offers a packet of an open flow to the former service, whose agent has
// restarted too: the flow stays silent although another balancer knows where the route led.
func TestAStartingBalancerLearnsFormerRoutesFromAnother(t *testing.T) {
	address := netip.MustParseAddrPort("198.18.0.3:443")
	running, starting := testBalancer(t), testBalancer(t)
	leadTo(running, 7, address, "reports-svc")
	leadTo(running, 8, address, "route-svc")
	leadTo(starting, 8, address, "route-svc")
	running.agents.MarkSeen(running.started, unreachable(1)[0])
	require.Equal(t, []string{"reports-svc"}, running.core.Directory().FormerServices(address))

	running.fromBalancer(running.started, starting.self, &dsrpb.Message{Kind: dsrpb.Kind_KIND_GOSSIP, Roster: &dsrpb.Roster{Ask: true}})
	answers := &listener{T: t, conn: starting.messages.conn}
	for _, m := range answers.received() {
		starting.fromBalancer(starting.started, running.self, m)
	}
	require.Equal(t, []string{"reports-svc"}, starting.core.Directory().FormerServices(address))
}
