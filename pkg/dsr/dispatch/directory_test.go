package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// A balancer uses an agent only while it hears of it, but lists it for longer.
func TestASilentAgentStaysListed(t *testing.T) {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 0)
	f.announce(2, "route-svc", "dc-1", dsrpb.State_STATE_LEAVING, 0)
	f.b.LoadDirectory(f.now, directory.Snapshot{Agents: map[string][]netip.AddrPort{"route-svc": {agentAt(3)}}, Complete: true})
	f.pass(directory.MaxFlowAge - time.Second)
	living, _ := f.b.Agents(f.now)
	require.Zero(t, living)
	require.Equal(t, []netip.AddrPort{agentAt(1), agentAt(2), agentAt(3)}, f.b.Directory().Holders("route-svc"))
	f.pass(2 * time.Second)
	require.Equal(t, []netip.AddrPort{agentAt(1), agentAt(3)}, f.b.Directory().Holders("route-svc"))
	require.True(t, f.b.Directory().Complete(f.now))
}
