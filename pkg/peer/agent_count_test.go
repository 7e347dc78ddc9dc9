package peer

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
)

func TestAgentsDiffer(t *testing.T) {
	cases := []struct {
		sent, now int
		want      bool
	}{
		{0, 0, false}, {0, 1, true}, {1, 0, true}, {10, 11, false}, {10, 12, true}, {10, 9, false}, {10, 8, true},
		{3300, 2970, false}, {3300, 2969, true}, {3300, 3630, false}, {3300, 3631, true},
	}
	for _, c := range cases {
		require.Equal(t, c.want, agentsDiffer(c.sent, c.now), "%d and then %d", c.sent, c.now)
	}
}

// A change of agents of other services causes an update only when their number changes by more than the tolerance.
func TestStreamSendsNumberOfAgents(t *testing.T) {
	n := startNode(t, "b0", nil)
	w := &serviceWatch{node: n.Node, service: "pool", sent: make(map[string][]byte)}
	count := 0
	add := func(agents int, service string) {
		for range agents {
			m := fleetMember(fmt.Sprintf("t%d", count), membership.RoleAgent, count)
			m.Service = service
			require.True(t, n.table.Merge(m, testTime))
			count++
		}
	}
	n.table.Merge(fleetMember("b1", membership.RoleBalancer, 1), testTime)
	add(20, "other")
	u := w.next()
	require.EqualValues(t, 20, u.GetAgents(), "agents of all services, without balancers")
	add(2, "other")
	require.Nil(t, w.next(), "a change of a tenth causes no update")
	add(1, "other")
	u = w.next()
	require.EqualValues(t, 23, u.GetAgents())
	require.Empty(t, u.GetMembers())
	require.False(t, u.GetSnapshot())
	require.Nil(t, w.next())
	add(1, "pool")
	require.EqualValues(t, 24, w.next().GetAgents(), "every update has the number")
}

func TestNumberOfAgentsReachesTheSession(t *testing.T) {
	nodes := startNodes(t, 2, nil)
	var agents [2]atomic.Uint32
	var sessions [2]*testSession
	for i := range sessions {
		sessions[i] = startSession(t, fmt.Sprintf("t%d", i), addrsOf(nodes[i:i+1]), func(c *SessionConfig) {
			c.Self.Service = fmt.Sprintf("service-%d", i)
			c.OnAgents = agents[i].Store
		})
	}
	eventually(t, "both count two", func() bool { return agents[0].Load() == 2 && agents[1].Load() == 2 })
	sessions[1].end(t)
	eventually(t, "one is left", func() bool { return agents[0].Load() == 1 })
}
