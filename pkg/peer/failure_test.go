package peer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/revision"
)

// kill closes all connections without notice, as the crash of the process does.
func (s *testSession) kill() {
	s.dialer.close()
}

func TestKilledAgentIsDroppedAndRestarts(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	nodes[0].adopter.Offer(routeRevision(1, "route-svc"), revision.SourceHead)
	killed := startSession(t, "t0", addrsOf(nodes), nil)
	others := []*testSession{
		startSession(t, "t1", addrsOf(nodes), nil), startSession(t, "t2", addrsOf(nodes), nil), startSession(t, "t3", addrsOf(nodes), nil),
	}
	for _, o := range others {
		eventually(t, "all targets", func() bool { v := o.view("route-svc"); return v != nil && len(v.Targets) == 4 })
	}
	for _, n := range nodes {
		eventually(t, "heartbeat received", func() bool { return n.detector.HasSeen("t0") })
	}
	killed.kill()
	for _, n := range nodes {
		eventually(t, "agent dead", func() bool { return n.state("t0") == membership.StateDead })
	}
	for _, o := range others {
		eventually(t, "target dropped", func() bool { return len(o.view("route-svc").Targets) == 3 })
	}
	startSession(t, "t0", addrsOf(nodes), func(c *SessionConfig) { c.Self.Incarnation = 2 })
	for _, o := range others {
		eventually(t, "target back", func() bool { return len(o.view("route-svc").Targets) == 4 })
	}
}

func TestSessionOutlivesItsBalancers(t *testing.T) {
	nodes := startNodes(t, 5, nil)
	nodes[0].adopter.Offer(routeRevision(1, "route-svc"), revision.SourceHead)
	for _, n := range nodes {
		eventually(t, "all known", func() bool { return n.adopter.Number() == 1 && len(n.table.Balancers()) == 5 })
	}
	agent := startSession(t, "t0", addrsOf(nodes[:1]), nil)
	eventually(t, "view", func() bool { return agent.view("route-svc") != nil })
	nodes[0].kill()
	nodes[1].kill()
	for _, n := range nodes[2:] {
		eventually(t, "balancers dead", func() bool {
			return n.state("b0") == membership.StateDead && n.state("b1") == membership.StateDead
		})
	}
	nodes[2].adopter.Offer(routeRevision(2, "route-svc", "unrelated"), revision.SourceHead)
	eventually(t, "new revision", func() bool { return agent.view("route-svc").Revision == 2 })
	require.Equal(t, membership.StateActive, nodes[4].state("t0"))
}

func TestAgentThatLosesAllWatchersFindsOthers(t *testing.T) {
	nodes := startNodes(t, 6, nil)
	for _, n := range nodes {
		eventually(t, "all known", func() bool { return len(n.table.Balancers()) == 6 })
	}
	agent := startSession(t, "t0", addrsOf(nodes), nil)
	eventually(t, "active", func() bool { return agent.Self().State == membership.StateActive })
	m := agent.Self()
	watchers := nodes[0].table.Watchers(&m)
	survivors := nodes[:0:0]
	for _, n := range nodes {
		eventually(t, "active everywhere", func() bool { return n.state("t0") == membership.StateActive })
		if slices.Contains(watchers, n.cfg.Self.ID) {
			eventually(t, "heartbeat received", func() bool { return n.detector.HasSeen("t0") })
			continue
		}
		survivors = append(survivors, n)
	}
	for _, n := range nodes {
		if slices.Contains(watchers, n.cfg.Self.ID) {
			n.kill()
		}
	}
	for _, n := range survivors {
		eventually(t, "heartbeat received by new watchers", func() bool { return n.detector.HasSeen("t0") })
		now, _ := n.table.Get("t0")
		require.Equal(t, m.Sequence, now.Sequence, "the agent was never declared dead")
		require.Equal(t, membership.StateActive, now.State)
	}
}

func TestFalseVerdictIsRefuted(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	agent := startSession(t, "t0", addrsOf(nodes), nil)
	// The node whose table is changed must have the agent's record too, because the verdict is merged into that.
	for _, n := range nodes {
		eventually(t, "active", func() bool { return n.state("t0") == membership.StateActive })
	}
	m, _ := nodes[0].table.Get("t0")
	m.State = membership.StateDead
	m.Changed = nodes[0].cfg.Now()
	require.True(t, nodes[0].table.Merge(m, m.Changed))
	for _, n := range nodes {
		eventually(t, "refuted", func() bool {
			now, _ := n.table.Get("t0")
			return now.State == membership.StateActive && now.Sequence > m.Sequence
		})
	}
	require.Greater(t, agent.Self().Sequence, m.Sequence)
}

func TestBalancerRefutesItsDeath(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	eventually(t, "known", func() bool { return len(nodes[0].table.Balancers()) == 3 })
	m, _ := nodes[0].table.Get("b2")
	m.State = membership.StateDead
	m.Changed = nodes[0].cfg.Now()
	nodes[0].table.Merge(m, m.Changed)
	for _, n := range nodes {
		eventually(t, "refuted", func() bool {
			now, _ := n.table.Get("b2")
			return now.State == membership.StateActive && now.Sequence > m.Sequence
		})
	}
}

func TestNewNodeFetchesRevisionFromPeers(t *testing.T) {
	nodes := startNodes(t, 2, nil)
	for i := range uint64(12) {
		nodes[0].adopter.Offer(routeRevision(i+1, "route-svc"), revision.SourceHead)
	}
	late := startNode(t, "late", func(c *NodeConfig) { c.Seeds = addrsOf(nodes[1:]) })
	eventually(t, "revision", func() bool { return late.adopter.Number() == 12 })
}

func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	valid := membership.Member{ID: "t0", Incarnation: 1, State: membership.StateActive, Role: membership.RoleAgent, Service: "route-svc"}
	cases := map[string]func(m *membership.Member){
		"no id":                    func(m *membership.Member) { m.ID = "" },
		"no incarnation":           func(m *membership.Member) { m.Incarnation = 0 },
		"no state":                 func(m *membership.Member) { m.State = 0 },
		"dead":                     func(m *membership.Member) { m.State = membership.StateDead },
		"agent without address":    func(m *membership.Member) {},
		"balancer without address": func(m *membership.Member) { m.Role = membership.RoleBalancer },
		"unknown state":            func(m *membership.Member) { m.State = 77 },
		"unknown role":             func(m *membership.Member) { m.Role = 7 },
		"agent without service":    func(m *membership.Member) { m.Service = "" },
		"invalid final state":      func(m *membership.Member) { m.Final = membership.StateDead },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			m := valid
			change(&m)
			require.Error(t, validateAnnouncement(&m))
		})
	}
}
