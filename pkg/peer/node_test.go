package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/revision"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// testTimeout is the timeout of waits in tests; a passing test needs far less.
const testTimeout = 20 * time.Second

// testDetector has long timeouts, so that tests don't fail on a busy machine.
var testDetector = membership.DetectorConfig{SuspectAfter: 6 * time.Second, PauseLimit: 2 * time.Second, Grace: 8 * time.Second, MassLossHold: time.Second}

type testNode struct {
	*Node
	adopter *revision.Adopter
	stop    context.CancelFunc
	done    chan error
}

// listener returns a listener on loopback that is closed at the end of the test.
func listener(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func startNode(t testing.TB, id string, change func(*NodeConfig)) *testNode {
	t.Helper()
	adopter := revision.NewAdopter(zerolog.Nop())
	cfg := NodeConfig{
		Self:             membership.Member{ID: id, Incarnation: 1, Region: "amman-east", DataCentre: "marka-hall"},
		Listener:         listener(t),
		Adopter:          adopter,
		ExchangeInterval: 50 * time.Millisecond,
		Detector:         testDetector,
		BytesPerSecond:   1 << 20,
		Log:              zerolog.Nop(),
	}
	if change != nil {
		change(&cfg)
	}
	n, err := NewNode(cfg)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	test := &testNode{Node: n, adopter: adopter, stop: stop, done: make(chan error, 1)}
	go func() { test.done <- n.Serve(ctx) }()
	t.Cleanup(func() { test.end(t) })
	return test
}

// end stops the node in an orderly way.
func (n *testNode) end(t testing.TB) {
	n.stop()
	select {
	case err := <-n.done:
		require.NoError(t, err)
		n.done <- nil
	case <-time.After(testTimeout):
		t.Error("node did not stop")
	}
}

// kill closes all connections without notice, as the crash of the process does.
func (n *testNode) kill() {
	n.dialer.close()
	n.server.Stop()
}

func startNodes(t testing.TB, count int, change func(i int, c *NodeConfig)) []*testNode {
	var nodes []*testNode
	for i := range count {
		nodes = append(nodes, startNode(t, fmt.Sprintf("b%d", i), func(c *NodeConfig) {
			if i > 0 {
				c.Seeds = []string{nodes[0].Addr().String()}
			}
			if change != nil {
				change(i, c)
			}
		}))
	}
	return nodes
}

type testSession struct {
	*Session
	stop context.CancelFunc
	done chan error

	mu    sync.Mutex
	views map[string]*view.Service
}

func startSession(t testing.TB, id string, seeds []string, change func(*SessionConfig)) *testSession {
	t.Helper()
	test := &testSession{done: make(chan error, 1), views: make(map[string]*view.Service)}
	cfg := SessionConfig{
		Self: membership.Member{
			ID: id, Incarnation: 1, Region: "amman-east", DataCentre: "marka-hall", Service: "route-svc", Version: "v1",
			PacketAddr: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 3, Connections: 2000,
		},
		Seeds:             seeds,
		JoinTime:          10 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond,
		OnView:            test.onView,
		OnRemoved:         test.onRemoved,
		Log:               zerolog.Nop(),
	}
	if change != nil {
		change(&cfg)
	}
	s, err := NewSession(cfg)
	require.NoError(t, err)
	test.Session = s
	ctx, stop := context.WithCancel(context.Background())
	test.stop = stop
	go func() { test.done <- s.Run(ctx) }()
	t.Cleanup(func() { test.end(t) })
	return test
}

func (s *testSession) onView(v *view.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views[v.Name] = v
}

func (s *testSession) onRemoved(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.views, name)
}

func (s *testSession) view(name string) *view.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views[name]
}

func (s *testSession) end(t testing.TB) {
	s.stop()
	select {
	case err := <-s.done:
		require.NoError(t, err)
		s.done <- nil
	case <-time.After(testTimeout):
		t.Error("session did not stop")
	}
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, testTimeout, 5*time.Millisecond, what)
}

func (n *testNode) state(id string) membership.State {
	m, _ := n.table.Get(id)
	return m.State
}

func routeRevision(number uint64, names ...string) resource.Revision {
	r := resource.Revision{Number: number}
	for _, name := range names {
		r.Services = append(r.Services, resource.ServiceConfig{Name: name, Version: number, Spec: resource.ServiceSpec{Mode: resource.ModeStream}})
	}
	return r
}

func addrsOf(nodes []*testNode) []string {
	var addrs []string
	for _, n := range nodes {
		addrs = append(addrs, n.Addr().String())
	}
	return addrs
}

func TestMembersAndRevisionsReachAll(t *testing.T) {
	nodes := startNodes(t, 4, nil)
	nodes[2].adopter.Offer(routeRevision(3, "route-svc"), revision.SourceHead)
	agents := []*testSession{
		startSession(t, "t0", addrsOf(nodes[:1]), nil),
		startSession(t, "t1", addrsOf(nodes[1:2]), nil),
	}
	for _, n := range nodes {
		eventually(t, "agents active", func() bool {
			return n.state("t0") == membership.StateActive && n.state("t1") == membership.StateActive
		})
		eventually(t, "revision", func() bool { return n.adopter.Number() == 3 })
		eventually(t, "balancers", func() bool { return len(n.table.Balancers()) == 4 })
		n.Confirm(3)
	}
	eventually(t, "acknowledged", func() bool {
		f := nodes[0].InForce(3)
		return f.Adopted == 4 && f.Known == 4
	})
	for _, a := range agents {
		eventually(t, "view", func() bool {
			v := a.view("route-svc")
			return v != nil && v.Revision == 3 && len(v.Targets) == 2 && v.Targets[0].State == view.StateActive && v.Targets[1].State == view.StateActive
		})
	}
	agents[0].Drain()
	eventually(t, "draining seen by the other agent", func() bool {
		v := agents[1].view("route-svc")
		return v.Targets[0].State == view.StateDraining
	})
	agents[0].end(t)
	eventually(t, "leaving seen by the other agent", func() bool { return len(agents[1].view("route-svc").Targets) == 1 })
	eventually(t, "leaving seen by another node", func() bool { return nodes[3].state("t0") == membership.StateLeft })
}
