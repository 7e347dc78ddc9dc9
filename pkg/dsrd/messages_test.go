package dsrd

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/dsr/roster"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/telemetry"
)

var messagesEnv = telemetry.Env{Log: zerolog.Nop(), Scope: tally.NoopScope}

// listener is another process, whose received messages are kept until the test reads them.
type listener struct {
	*testing.T
	conn *net.UDPConn
}

func newListener(t *testing.T) *listener {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &listener{T: t, conn: c}
}

func (l *listener) address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// received returns the messages that have arrived. On loopback a message has arrived when its sender's call has
// returned.
func (l *listener) received() []*dsrpb.Message {
	var out []*dsrpb.Message
	b := make([]byte, maxDatagram)
	for {
		require.NoError(l, l.conn.SetReadDeadline(time.Now().Add(5*time.Millisecond)))
		n, err := l.conn.Read(b)
		if err != nil {
			return out
		}
		m := new(dsrpb.Message)
		require.NoError(l, m.UnmarshalVT(b[:n]))
		out = append(out, m)
	}
}

// testNode is the common part of the daemons, with a socket for messages only.
func testNode(t testing.TB) *node {
	s, err := listenUDP(netip.MustParseAddrPort("127.0.0.1:0"), messagesEnv)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.conn.Close() })
	return &node{
		eras: objectapi.NewEras(), log: zerolog.Nop(), scope: tally.NoopScope, messages: s, self: s.address(), alarm: newAlarm(),
		sent: newMessageCounters(tally.NoopScope, "sent"), received: newMessageCounters(tally.NoopScope, "received"),
		buffer: make([]byte, maxDatagram), started: time.Now(),
	}
}

func testBalancer(t testing.TB) *Balancer {
	b := &Balancer{node: testNode(t), lastWelcome: make(map[netip.AddrPort]time.Time), readCapacity: make(map[netip.AddrPort]uint32)}
	b.out = newBalancerOutput(b)
	b.core = dispatch.NewBalancer(dispatch.Config{}, dsrtest.Codec{}, b.out, b.started)
	b.configSync = newConfigSync(Platform{}, zerolog.Nop())
	b.reportedEras = objectapi.NewEras()
	b.rosters = newRosterBudget(1000)
	return b
}

// unreachable are the addresses of processes that do not run.
func unreachable(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, n)
	for i := range out {
		out[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
	}
	return out
}

func TestAnAgentAnnouncesItselfOnlyToNewBalancers(t *testing.T) {
	known, fresh := newListener(t), newListener(t)
	a := &Agent{node: testNode(t)}
	a.table = ownership.NewTable(ownership.Config{}, dsrtest.Codec{}, nil, a.started)
	now := a.started
	a.balancers.MarkSeen(now, known.address())
	a.announceDue(now)
	require.Len(t, known.received(), 1)
	a.receiveWelcome(now, known.address(), &dsrpb.Roster{Balancers: encodeAddresses([]netip.AddrPort{known.address(), fresh.address()})})
	require.Empty(t, known.received())
	require.Len(t, fresh.received(), 1)
}

// An announcement for each answer would double the messages of a start, which grow with agents times balancers: that of an
// agent without a target is answered too.
func TestAnAnswerToAnAnnouncementCausesNoOther(t *testing.T) {
	for _, c := range []struct {
		reason    string
		announced bool
		message   *dsrpb.Message
		sent      int
	}{
		{"an answer", true, &dsrpb.Message{Kind: dsrpb.Kind_KIND_WELCOME, Roster: &dsrpb.Roster{}}, 0},
		{"a balancer that has lost its state", true, &dsrpb.Message{Kind: dsrpb.Kind_KIND_WELCOME, Roster: &dsrpb.Roster{Ask: true}}, 1},
		{"a balancer that knows an earlier life of the agent", true, &dsrpb.Message{Kind: dsrpb.Kind_KIND_LOCATE}, 1},
		{"a balancer that this agent did not know", false, &dsrpb.Message{Kind: dsrpb.Kind_KIND_WELCOME, Roster: &dsrpb.Roster{}}, 1},
		{"one that asks for an announcement", false, &dsrpb.Message{Kind: dsrpb.Kind_KIND_WELCOME, Roster: &dsrpb.Roster{Ask: true}}, 1},
	} {
		balancer := newListener(t)
		a := &Agent{node: testNode(t)}
		a.out = newAgentOutput(a)
		a.table = ownership.NewTable(ownership.Config{}, dsrtest.Codec{}, a.out, a.started)
		if c.announced {
			a.balancers.Add(a.started, balancer.address())
			a.announceDue(a.started)
			require.Len(t, balancer.received(), 1)
		}
		raw, err := c.message.MarshalVT()
		require.NoError(t, err)
		a.fromDaemon(balancer.address(), raw)
		announcements := slices.DeleteFunc(balancer.received(), func(m *dsrpb.Message) bool { return m.Kind != dsrpb.Kind_KIND_ANNOUNCE })
		require.Len(t, announcements, c.sent, c.reason)
	}
}

// If each balancer sent the path of the health check to each agent, the messages of that moment would grow with agents times
// balancers.
func TestAnAgentGetsTheHealthPathFromAFewBalancers(t *testing.T) {
	for _, c := range []struct{ balancers, least, most int }{
		{1, 3000, 3000}, {agentFanOut, 3000, 3000}, {304, 5, 150}, {490, 5, 110},
	} {
		b := testBalancer(t)
		now := b.started
		for _, a := range unreachable(c.balancers - 1) {
			b.balancers.MarkSeen(now, a)
		}
		for _, a := range unreachable(3000) {
			b.core.FromAgent(now, a, &dsrpb.Message{
				Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "s", Announcement: &dsrpb.Announcement{State: dsrpb.State_STATE_ABSENT},
			})
		}
		b.sendHealthPaths(now)
		sent := int(b.sent.kinds[dsrpb.Kind_KIND_WELCOME].total.Load())
		require.GreaterOrEqual(t, sent, c.least, "%d balancers", c.balancers)
		require.LessOrEqual(t, sent, c.most, "%d balancers", c.balancers)
	}
}

// An agent whose target had reported before a balancer answered was not told the path of the health check, and could not find out
// which process ran.
func TestAnAgentThatKnowsItsTargetIsToldTheHealthPath(t *testing.T) {
	for _, s := range []dsrpb.State{dsrpb.State_STATE_ABSENT, dsrpb.State_STATE_READY, dsrpb.State_STATE_LEAVING} {
		agent := newListener(t)
		b := testBalancer(t)
		b.core.SetRoutes(b.started, routing.NewTable(configuration.Configuration{
			Version: 1, Services: []configuration.Service{{Name: "route-svc", HealthPath: "/health"}},
		}))
		b.welcome(b.started, agent.address(), "route-svc", &dsrpb.Announcement{State: s})
		received := agent.received()
		require.Len(t, received, 1)
		require.Equal(t, "/health", received[0].Roster.HealthPath, "%s", s)
	}
}

// A balancer that does not say when it sends its next message counts as silent after a second.
func TestEveryMessageNamesTheNextInterval(t *testing.T) {
	peer := newListener(t)
	b := testBalancer(t)
	now := b.started
	b.balancers.MarkSeen(now, peer.address())
	for _, a := range unreachable(58) {
		b.balancers.MarkSeen(now, a)
	}
	b.agents.MarkSeen(now, unreachable(1)[0])
	interval := uint32(b.balancers.IntervalTo(peer.address()) / time.Millisecond)
	require.Greater(t, interval, uint32(roster.MinInterval/time.Millisecond))
	b.sendAgents(now, peer.address())
	b.sendGossip(now, []netip.AddrPort{peer.address()}, b.gossipMessage(1, 0, true))
	sent := peer.received()
	require.Len(t, sent, 2)
	for _, m := range sent {
		require.Equal(t, interval, m.Roster.IntervalMs)
	}
}

func TestAStartingBalancerReceivesEveryAgent(t *testing.T) {
	peer := newListener(t)
	b := testBalancer(t)
	agents := unreachable(400)
	for _, a := range agents {
		b.agents.MarkSeen(b.started, a)
	}
	b.sendAgents(b.started, peer.address())
	var named []netip.AddrPort
	for _, m := range peer.received() {
		named = append(named, decodeAddresses(m.Roster.Agents)...)
	}
	require.ElementsMatch(t, agents, named)
}

func TestStateOfEvictedProcessesIsRemoved(t *testing.T) {
	b := testBalancer(t)
	now := b.started
	for _, a := range unreachable(100) {
		b.agents.MarkSeen(now, a)
		b.lastWelcome[a] = now
		b.balancers.MarkSeen(now, a)
		b.readCapacity[a] = 1
	}
	later := now.Add(roster.ExpireAfter + time.Second)
	b.balancers.Due(later)
	b.evict(later)
	require.Empty(t, b.lastWelcome)
	require.Empty(t, b.readCapacity)
	require.Zero(t, b.agents.Len())
}

// udpHeader is the size of the UDP and IPv4 headers, in bytes.
const udpHeader = 28

// The control traffic of a daemon must stay below 12 kB a second, at 490 balancers and 3,300 agents.
func TestControlTrafficOfABalancerIsBounded(t *testing.T) {
	b := testBalancer(t)
	now := b.started
	for _, a := range unreachable(490) {
		b.balancers.MarkSeen(now, a)
	}
	for _, a := range unreachable(3300) {
		b.agents.MarkSeen(now, a)
	}
	size := func(m *dsrpb.Message) float64 { return float64(m.SizeVT() + udpHeader) }
	evacuated := &dsrpb.Evacuations{Version: 1 << 30, DataCentres: []string{"ain-ghazal-hall"}}
	answers := make([]*dsrpb.Answer, 4)
	for i := range answers {
		answers[i] = &dsrpb.Answer{Address: 1 << 31, LeastUs: 250_000, LeastBytes: 100_000}
	}
	table := ownership.NewTable(ownership.Config{
		Service: "manifest-post-service", DataCentre: "ain-ghazal-hall", Region: "amman-east", Incarnation: 1 << 60,
	}, dsrtest.Codec{}, nil, now)
	announced := table.Announcement(now, true, roster.MaxInterval)
	announced.Configuration, announced.Busy, announced.WorkUs, announced.FlowsPerSecond = 1<<30, 20, 250_000, 30.5
	announced.Announcement.Answers = answers
	welcome := b.welcomeMessage(now, "")
	welcome.Configuration, welcome.Evacuations = 1<<30, evacuated
	welcome.Roster.Balancers = encodeAddresses(b.balancers.Sample(now, gossipedPeers))
	welcome.Roster.Usual = answers
	gossip := b.gossipMessage(1<<30, time.Second, true)
	gossip.Evacuations = evacuated
	gossip.Roster.IntervalMs = uint32(roster.MaxInterval / time.Millisecond)
	gossip.Roster.Balancers = welcome.Roster.Balancers
	// Messages come up to a quarter of the interval early, an eighth on average. One of seven agents is in the
	// balancer's data centre.
	const (
		early = 1 - 0.25/2
		near  = 1.0 / 7
	)
	agents := float64(b.agents.Len())
	received := (near*agents/roster.IntervalFor(b.agents.Len()).Seconds() + (1-near)*agents/roster.RemoteIntervalFor(b.agents.Len()).Seconds()) / early
	sent := float64(b.balancers.Len()) / b.balancers.IntervalTo(unreachable(1)[0]).Seconds() / early
	perSecond := received*size(announced) + received/answeredAnnouncements*size(welcome) + 2*sent*size(gossip)
	require.LessOrEqual(t, perSecond, 12_000.0)
	t.Logf("%.0f bytes a second: announcements of %.0f bytes, answers of %.0f, gossip of %.0f", perSecond, size(announced), size(welcome), size(gossip))
}
