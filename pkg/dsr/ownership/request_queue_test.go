package ownership

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Addresses of an urgent route and of one that is less urgent.
var (
	orders = netip.MustParseAddrPort("198.18.0.1:8080")
	feed   = netip.MustParseAddrPort("198.18.0.1:8443")
)

const (
	ordersPriority = 1
	feedPriority   = 2
	feedAim        = 200 * time.Millisecond
	requestWork    = 30 * time.Millisecond
	// queuedAtTarget is a flow of a filled target whose request had no slot at once, so that its answer is no sample of
	// the work time.
	queuedAtTarget = 3
)

// requestFixture is a fixture whose flows carry several requests.
type requestFixture struct {
	*fixture
	// sent is the number of bytes that each caller has sent.
	sent map[int]uint32
}

func newRequestFixture(t *testing.T, cfg Config) *requestFixture {
	return &requestFixture{fixture: newFixture(t, cfg), sent: make(map[int]uint32)}
}

// promised describes a new flow to an address.
func promised(destination netip.AddrPort) *dsrpb.Opening {
	if destination == orders {
		return &dsrpb.Opening{AimMs: 250, PatienceMs: 1400, Priority: ordersPriority}
	}
	return &dsrpb.Opening{AimMs: uint32(feedAim / time.Millisecond), PatienceMs: 1200, Priority: feedPriority}
}

func (f *requestFixture) sendOpening(port int, destination netip.AddrPort, o *dsrpb.Opening, version uint64) {
	f.forward(dsrtest.Packet{Source: caller(port), Destination: destination, Flags: segment.SYN, Sequence: 7},
		&dsrpb.Message{Patience: dsrpb.Patience_PATIENCE_QUEUE, Opening: o, Configuration: version})
}

// openAnswered opens a flow whose first request is answered.
func (f *requestFixture) openAnswered(port int, destination netip.AddrPort) {
	f.sendOpening(port, destination, promised(destination), 0)
	f.fromTarget(port, destination, segment.SYN|segment.ACK, uint32(port)*1000, "")
	f.ask(port, destination)
	f.pass(requestWork)
	f.answer(port, destination)
	f.announce(announcement.Ready)
}

// ask sends the next request of a flow.
func (f *requestFixture) ask(port int, destination netip.AddrPort) {
	f.sent[port] += 4
	f.askAgain(port, destination)
}

// askAgain retransmits the last request of a flow.
func (f *requestFixture) askAgain(port int, destination netip.AddrPort) {
	data := binary.BigEndian.AppendUint32(nil, f.sent[port])
	f.fromCaller(port, destination, segment.ACK, f.sent[port]-4, data)
}

func (f *requestFixture) fromCaller(port int, destination netip.AddrPort, flags segment.Flags, sequence uint32, data []byte) {
	f.forward(dsrtest.Packet{
		Source: caller(port), Destination: destination, Flags: flags, Sequence: sequence,
		Acknowledgement: uint32(port)*1000 + 1, Data: data,
	}, &dsrpb.Message{Owner: true})
}

func (f *requestFixture) answer(port int, destination netip.AddrPort) {
	f.fromTarget(port, destination, segment.ACK, uint32(port)*1000+1, "200")
}

func (f *requestFixture) fromTarget(port int, destination netip.AddrPort, flags segment.Flags, sequence uint32, data string) {
	raw := dsrtest.Encode(dsrtest.Packet{Source: destination, Destination: caller(port), Flags: flags, Sequence: sequence, Data: []byte(data)})
	s, err := dsrtest.Codec{}.Decode(raw)
	require.NoError(f, err)
	f.table.FromTarget(f.now, s)
}

// returnPacketTo returns a caller's packet as the target does.
func (f *requestFixture) returnPacketTo(port int, destination netip.AddrPort) {
	raw := dsrtest.Encode(dsrtest.Packet{Source: caller(port), Destination: destination, Flags: segment.ACK | segment.Returned})
	s, err := dsrtest.Codec{}.Decode(raw)
	require.NoError(f, err)
	f.table.FromTarget(f.now, s)
}

// takenPorts returns the callers of the packets that the target got since the last call.
func (f *requestFixture) takenPorts() []int {
	var out []int
	for _, raw := range f.out.target {
		s, err := dsrtest.Codec{}.Decode(raw)
		require.NoError(f, err)
		out = append(out, int(s.Source.Port()))
	}
	f.out.target = nil
	return out
}

// fill opens flows to feed and gives the target as many requests as it takes. It returns the ports of further flows
// that have no request.
func (f *requestFixture) fill(further int) []int {
	n := f.table.openLimit() + further
	for port := 1; port <= n; port++ {
		f.openAnswered(port, feed)
	}
	n = f.table.openLimit() + further
	for port := len(f.sent) + 1; port <= n; port++ {
		f.openAnswered(port, feed)
	}
	limit := f.table.openLimit()
	for port := 1; port <= limit; port++ {
		f.ask(port, feed)
	}
	f.takenPorts()
	var rest []int
	for port := limit + 1; port <= limit+further; port++ {
		rest = append(rest, port)
	}
	return rest
}

func TestAnUrgentRequestOnAnOpenFlowGoesBeforeEarlierOnes(t *testing.T) {
	f := newRequestFixture(t, Config{})
	f.openAnswered(100, orders)
	for _, port := range f.fill(3) {
		f.ask(port, feed)
	}
	f.pass(5 * time.Millisecond)
	f.ask(100, orders)
	require.Empty(t, f.takenPorts(), "all wait for their turn")
	f.answer(queuedAtTarget, feed)
	require.Equal(t, []int{100}, f.takenPorts())
}

// A request that can wait no longer goes past the target's limit, but not past more urgent ones.
func TestARequestThatIsDueDoesNotPassMoreUrgentOnes(t *testing.T) {
	f := newRequestFixture(t, Config{})
	f.openAnswered(100, orders)
	waiting := f.fill(1)[0]
	f.ask(waiting, feed)
	f.pass(5 * time.Millisecond)
	f.ask(100, orders)
	f.sendOpening(101, orders, promised(orders), 0)
	require.Empty(t, f.takenPorts())
	f.pass(feedAim / 2)
	require.Equal(t, []int{100, 101, waiting}, f.takenPorts())
}

func TestAnUrgentNewFlowIsNotPassedByRequestsOnOpenFlows(t *testing.T) {
	f := newRequestFixture(t, Config{})
	f.openAnswered(100, orders)
	for _, port := range f.fill(3) {
		f.ask(port, feed)
	}
	f.sendOpening(101, orders, promised(orders), 0)
	require.Empty(t, f.takenPorts())
	f.answer(queuedAtTarget, feed)
	require.Equal(t, []int{101}, f.takenPorts())
}

func TestWithoutTheRequestQueueRequestsOnOpenFlowsGoAtOnce(t *testing.T) {
	f := newRequestFixture(t, Config{Without: policy.Without{RequestQueue: true}})
	rest := f.fill(3)
	for _, port := range rest {
		f.ask(port, feed)
	}
	require.Equal(t, rest, f.takenPorts())
}

// A request on an open flow cannot be refused. Less urgent ones wait no longer than their promised time, however many
// urgent ones come.
func TestLessUrgentRequestsStarveNoLongerThanTheirPromisedTime(t *testing.T) {
	f := newRequestFixture(t, Config{})
	const urgent = 40
	for port := range urgent {
		f.openAnswered(100+port, orders)
	}
	waiting := f.fill(1)[0]
	f.ask(waiting, feed)
	asked := f.now
	for i := 0; ; i++ {
		require.Less(t, f.now.Sub(asked), feedAim)
		if i < urgent {
			f.ask(100+i, orders)
		}
		f.pass(5 * time.Millisecond)
		if ports := f.takenPorts(); len(ports) > 0 && ports[len(ports)-1] == waiting {
			return
		}
	}
}

func TestAChangeOfPriorityReordersWaitingRequests(t *testing.T) {
	f := newRequestFixture(t, Config{})
	f.openAnswered(100, orders)
	waiting := f.fill(1)[0]
	f.ask(waiting, feed)
	f.ask(100, orders)
	urgentFeed := promised(feed)
	urgentFeed.Priority = 0
	f.sendOpening(200, feed, urgentFeed, 7)
	f.takenPorts()
	f.answer(queuedAtTarget, feed)
	require.Equal(t, []int{waiting}, f.takenPorts())
	f.sendOpening(201, feed, promised(feed), 6)
	require.Zero(t, f.table.promises[feed].priority, "an earlier configuration changes nothing")
}

func TestAHeldRequestIsPassedOnce(t *testing.T) {
	f := newRequestFixture(t, Config{})
	waiting := f.fill(1)[0]
	f.ask(waiting, feed)
	require.Equal(t, 1, f.table.queue.Len())
	busy := f.table.Busy()
	f.askAgain(waiting, feed)
	f.askAgain(waiting, feed)
	require.Equal(t, busy, f.table.Busy(), "a retransmission is no further work")
	f.fromCaller(waiting, feed, segment.ACK, f.sent[waiting], nil)
	require.Equal(t, []int{waiting}, f.takenPorts(), "an acknowledgement does not wait")
	f.answer(queuedAtTarget, feed)
	require.Equal(t, []int{waiting}, f.takenPorts())
	require.Equal(t, busy-1, f.table.Busy())
	f.askAgain(waiting, feed)
	require.Equal(t, []int{waiting}, f.takenPorts(), "a retransmission of what the target has is passed")
}

func TestAHeldRequestOfACallerThatHasLeftIsDropped(t *testing.T) {
	for name, flags := range map[string]segment.Flags{"reset": segment.RST, "close": segment.FIN | segment.ACK} {
		t.Run(name, func(t *testing.T) {
			f := newRequestFixture(t, Config{})
			waiting := f.fill(1)[0]
			f.ask(waiting, feed)
			f.fromCaller(waiting, feed, flags, f.sent[waiting], nil)
			require.Len(t, f.takenPorts(), 1, "the target gets the close")
			f.answer(queuedAtTarget, feed)
			require.Empty(t, f.takenPorts())
			require.Zero(t, f.table.heldBytes)
			require.Zero(t, f.table.queue.Len())
		})
	}
}

func TestHeldRequestsGoToTheTargetWhenNothingMayBeHeld(t *testing.T) {
	for name, change := range map[string]func(f *requestFixture){
		"the agent leaves": func(f *requestFixture) { f.table.Leave(f.now) },
		"the target was replaced": func(f *requestFixture) {
			f.announceNew(2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRequestFixture(t, Config{})
			waiting := f.fill(1)[0]
			f.ask(waiting, feed)
			change(f)
			require.Contains(t, f.takenPorts(), waiting)
			require.Zero(t, f.table.heldBytes)
		})
	}
}

func TestADrainingTargetServesOpenFlowsInOrder(t *testing.T) {
	f := newRequestFixture(t, Config{})
	waiting := f.fill(1)[0]
	f.announce(announcement.Draining)
	f.ask(waiting, feed)
	require.Empty(t, f.takenPorts())
	f.answer(queuedAtTarget, feed)
	require.Equal(t, []int{waiting}, f.takenPorts())
}

func TestTheTimeThatARequestWasHeldIsNoWorkTime(t *testing.T) {
	f := newRequestFixture(t, Config{})
	waiting := f.fill(1)[0]
	f.ask(waiting, feed)
	f.pass(20 * time.Millisecond)
	for port := 1; port <= f.table.openLimit(); port++ {
		f.answer(port, feed)
	}
	require.Equal(t, f.now, f.table.flows[keyTo(waiting, feed)].busySince)
}

func keyTo(port int, destination netip.AddrPort) flow.Key {
	return flow.Key{Source: caller(port), Destination: destination, Protocol: flow.ProtocolTCP}
}

func TestHeldPacketsAreBounded(t *testing.T) {
	f := newRequestFixture(t, Config{})
	rest := f.fill(2)
	f.ask(rest[0], feed)
	for range 3 * maxHeldPackets {
		f.ask(rest[0], feed)
	}
	require.Len(t, f.table.flows[keyTo(rest[0], feed)].held.packets, maxHeldPackets)
	f.takenPorts()
	f.table.heldBytes = maxHeldBytes
	f.ask(rest[1], feed)
	require.Equal(t, []int{rest[1]}, f.takenPorts(), "an agent without memory holds nothing")
}

// Flows that carry one request each are decided about as without the request queue.
func TestFlowsWithOneRequestAreServedAsBefore(t *testing.T) {
	for seed := range uint64(20) {
		with := playSingleRequests(t, seed, policy.Without{})
		without := playSingleRequests(t, seed, policy.Without{RequestQueue: true, RefuseLate: true})
		require.Equal(t, without.target, with.target, "seed %d", seed)
		require.Equal(t, without.messages, with.messages, "seed %d", seed)
		require.Equal(t, without.decisions, with.decisions, "seed %d", seed)
	}
}

// playSingleRequests opens flows faster than the target serves them.
func playSingleRequests(t *testing.T, seed uint64, without policy.Without) *recorder {
	f := newRequestFixture(t, Config{Without: without})
	random := rand.New(rand.NewPCG(seed, 1))
	opened := make(map[int]netip.AddrPort)
	for port := 1; port <= 150; port++ {
		destination := []netip.AddrPort{orders, feed}[random.IntN(2)]
		opened[port] = destination
		f.sendOpening(port, destination, promised(destination), 0)
		f.pass(time.Duration(random.IntN(20)) * time.Millisecond)
		for p := 1; p <= port; p++ {
			f.serveSingle(p, opened[p], random)
		}
		f.announce(announcement.Ready)
	}
	return f.out
}

// serveSingle lets a target and its caller take the next step of a flow, or not.
func (f *requestFixture) serveSingle(port int, destination netip.AddrPort, random *rand.Rand) {
	e := f.table.flows[keyTo(port, destination)]
	if e == nil || random.IntN(4) > 0 {
		return
	}
	switch {
	case e.phase == offered:
		f.fromTarget(port, destination, segment.SYN|segment.ACK, uint32(port)*1000, "")
		f.ask(port, destination)
	case e.working:
		f.answer(port, destination)
		f.fromCaller(port, destination, segment.FIN|segment.ACK, f.sent[port], nil)
	}
}

func TestPacketsOfAFlowAreNeitherReorderedNorDoubled(t *testing.T) {
	held := 0
	for seed := range uint64(150) {
		held += playRandomRequests(t, seed)
	}
	require.Greater(t, held, 1000, "the plays hold requests")
}

// announceNew reports a new incarnation of the target.
func (f *requestFixture) announceNew(incarnation int) {
	f.apply(announcement.Announcement{ID: fmt.Sprintf("i-%d", incarnation), Service: "route-svc", Slots: 2, Sequence: 1})
}

// playRandomRequests plays flows with several requests, retransmissions, closes and restarts, and checks what the target
// gets. It returns the number of requests that were held.
func playRandomRequests(t *testing.T, seed uint64) (held int) {
	const flows = 12
	f := newRequestFixture(t, Config{})
	random := rand.New(rand.NewPCG(seed, 2))
	arrivals, deliveries := make(map[int]map[uint32]int), make(map[int]map[uint32]int)
	last := make(map[int]uint32)
	destinationOf := func(port int) netip.AddrPort { return []netip.AddrPort{orders, feed}[port%2] }
	for port := 1; port <= flows; port++ {
		arrivals[port], deliveries[port] = make(map[uint32]int), make(map[uint32]int)
		f.openAnswered(port, destinationOf(port))
		arrivals[port][f.sent[port]], deliveries[port][f.sent[port]], last[port] = 1, 1, f.sent[port]
	}
	f.out.target = nil
	check := func() {
		for _, raw := range f.out.target {
			s, err := dsrtest.Codec{}.Decode(raw)
			require.NoError(t, err)
			if s.Length == 0 {
				continue
			}
			port, id := int(s.Source.Port()), binary.BigEndian.Uint32(dsrtest.Data(raw))
			deliveries[port][id]++
			require.LessOrEqual(t, deliveries[port][id], arrivals[port][id], "seed %d: flow %d, data %d is doubled", seed, port, id)
			if deliveries[port][id] == 1 {
				require.Greater(t, id, last[port], "seed %d: flow %d is reordered", seed, port)
				last[port] = id
			}
		}
		f.out.target = nil
		require.LessOrEqual(t, f.table.heldBytes, maxHeldBytes)
	}
	incarnation := 1
	for range 400 {
		port := 1 + random.IntN(flows)
		destination := destinationOf(port)
		switch draw := random.IntN(100); {
		case draw < 40:
			f.ask(port, destination)
			arrivals[port][f.sent[port]]++
		case draw < 60:
			f.askAgain(port, destination)
			arrivals[port][f.sent[port]]++
		case draw < 85:
			f.answer(port, destination)
		case draw < 87:
			f.fromCaller(port, destination, segment.RST, f.sent[port], nil)
		case draw < 89:
			f.fromCaller(port, destination, segment.FIN|segment.ACK, f.sent[port], nil)
		case draw < 90:
			f.returnPacketTo(port, destination)
		case draw < 91:
			incarnation++
			// The request that the last process had is sent again, so that the new one returns it.
			for p := 1; p <= flows; p++ {
				if e := f.table.flows[keyTo(p, destinationOf(p))]; e != nil && e.request != nil {
					arrivals[p][binary.BigEndian.Uint32(dsrtest.Data(e.request))]++
				}
			}
			f.announceNew(incarnation)
		case draw < 92:
			f.table = newTestTable(f.fixture, Config{})
			f.announceNew(incarnation)
		default:
			f.pass(time.Duration(random.IntN(30)) * time.Millisecond)
		}
		check()
	}
	f.table.Leave(f.now)
	check()
	require.Zero(t, f.table.heldBytes, "seed %d", seed)
	require.Zero(t, f.table.queue.Len(), "seed %d", seed)
	for _, d := range f.out.decisions {
		if d.Event == EventRequestHeld {
			held++
		}
	}
	return held
}
