package peer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// Sizes of the fleet that the system is designed for.
const (
	fleetBalancers = 490
	fleetAgents    = 3300
	fleetCentres   = 7
	fleetRegions   = 2
	// pushStep is the time from the arrival of a change at one balancer to its arrival at the next ones.
	pushStep = pushBatchDelay + 10*time.Millisecond
)

var testTime = time.UnixMilli(1_700_000_000_000).UTC()

func fleetMember(id string, role membership.Role, i int) membership.Member {
	dc := i % fleetCentres
	return membership.Member{
		ID: id, Role: role, Incarnation: uint64(testTime.UnixMilli()), Sequence: 2, State: membership.StateActive,
		Region: fmt.Sprintf("region-%d", dc%fleetRegions), DataCentre: fmt.Sprintf("data-centre-%d", dc),
		PacketAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7100),
		Slots:      4, Connections: 2000, ActiveSince: testTime, Changed: testTime,
	}
}

func fleetMembers(balancers, agents int) []membership.Member {
	var members []membership.Member
	for i := range balancers {
		m := fleetMember(fmt.Sprintf("balancer-%04d", i), membership.RoleBalancer, i)
		m.ControlAddr = fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250)
		members = append(members, m)
	}
	for i := range agents {
		m := fleetMember(fmt.Sprintf("target-%04d", i), membership.RoleAgent, i)
		m.Service, m.Version = fmt.Sprintf("service-%03d", i%680), "v1"
		members = append(members, m)
	}
	return members
}

// propagation simulates how changes propagate among tables, with the functions that nodes use, in steps of pushStep.
type propagation struct {
	random     *rand.Rand
	tables     []*membership.Table
	neighbours [][]int
	pushed     []uint64
	pushing    bool
	step       int
	// bytes counts the bytes of messages that each balancer sent and received.
	bytes []int
}

func newPropagation(balancers, agents int, pushing bool) *propagation {
	members := fleetMembers(balancers, agents)
	s := &propagation{random: rand.New(rand.NewPCG(1, 2)), pushing: pushing, bytes: make([]int, balancers)}
	index := make(map[string]int)
	for i := range balancers {
		index[members[i].ID] = i
	}
	for i := range balancers {
		t := membership.NewTable(membership.TableConfig{})
		for _, m := range members {
			t.Merge(m, testTime)
		}
		s.tables = append(s.tables, t)
		s.pushed = append(s.pushed, t.Version())
		var near []int
		for _, n := range membership.Neighbours(&members[i], members[:balancers]) {
			near = append(near, index[n.ID])
		}
		s.neighbours = append(s.neighbours, near)
	}
	return s
}

func (s *propagation) pick(i, count int) []int {
	near := s.neighbours[i]
	s.random.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	return near[:min(count, len(near))]
}

func (s *propagation) count(from, to int, m proto.Message) {
	s.bytes[from] += proto.Size(m)
	s.bytes[to] += proto.Size(m)
}

func (s *propagation) merge(i int, records []*peerpb.Member, verdicts []*peerpb.Verdict) {
	for _, p := range records {
		s.tables[i].Merge(memberFromProto(p), testTime)
	}
	mergeVerdicts(s.tables[i], verdicts, testTime)
}

// runStep runs one step: pushes of the changes from the previous step, and the rounds of exchange due in this step.
func (s *propagation) runStep() {
	s.step++
	type message struct {
		from, to int
		request  *peerpb.ExchangeRequest
	}
	var messages []message
	for i, t := range s.tables {
		changed := t.ChangedSince(s.pushed[i])
		s.pushed[i] = t.Version()
		if len(changed) == 0 || !s.pushing {
			continue
		}
		r := &peerpb.ExchangeRequest{Id: "balancer-0000", Root: t.Root(), Revision: 900, AcksRoot: 1, Push: true}
		r.Members, r.Verdicts = splitVerdicts(changed)
		for _, to := range s.pick(i, pushFanOut) {
			messages = append(messages, message{i, to, r})
		}
	}
	for _, m := range messages {
		s.count(m.from, m.to, m.request)
		s.merge(m.to, m.request.GetMembers(), m.request.GetVerdicts())
	}
	every := int(DefaultExchangeInterval / pushStep)
	for i := range s.tables {
		if (s.step+i)%every == 0 {
			for _, to := range s.pick(i, exchangeFanOut) {
				s.exchange(i, to)
			}
		}
	}
}

func (s *propagation) exchange(from, to int) {
	a, b := s.tables[from], s.tables[to]
	first := &peerpb.ExchangeRequest{Id: "balancer-0000", Root: a.Root(), Revision: 900, AcksRoot: 1}
	reply := &peerpb.ExchangeReply{Root: b.Root(), Revision: 900}
	if a.Root() != b.Root() {
		reply.Buckets = b.Digest().Buckets
	}
	s.count(from, to, first)
	s.count(to, from, reply)
	differing := a.Differing(reply.GetBuckets())
	if len(differing) == 0 {
		return
	}
	first.Summaries = summariesToProto(a.Summaries(differing, maxCompareBytes))
	members, want := b.Delta(summariesFromProto(first.GetSummaries()), maxCompareBytes)
	second := &peerpb.ExchangeReply{Members: membersToProto(members), Want: want}
	third := &peerpb.ExchangeRequest{Members: membersToProto(a.Select(want, maxCompareBytes))}
	s.count(from, to, first)
	s.count(to, from, second)
	s.count(from, to, third)
	s.merge(from, second.GetMembers(), nil)
	s.merge(to, third.GetMembers(), nil)
}

// runUntilConverged runs steps until all tables are equal, and returns the simulated time and the mean bytes per
// balancer.
func (s *propagation) runUntilConverged(tb testing.TB, limit time.Duration) (time.Duration, int) {
	begin := s.step
	for {
		elapsed := time.Duration(s.step-begin) * pushStep
		if s.converged() {
			return elapsed, s.takeMeanBytes()
		}
		require.LessOrEqual(tb, elapsed, limit, "the tables haven't converged")
		s.runStep()
	}
}

func (s *propagation) converged() bool {
	root := s.tables[0].Root()
	for _, t := range s.tables[1:] {
		if t.Root() != root {
			return false
		}
	}
	return true
}

// takeMeanBytes returns the mean bytes per balancer since the last call.
func (s *propagation) takeMeanBytes() int {
	sum := 0
	for i, n := range s.bytes {
		sum += n
		s.bytes[i] = 0
	}
	return sum / len(s.bytes)
}

func (s *propagation) change(id string, state membership.State) {
	m, _ := s.tables[0].Get(id)
	m.State = state
	if state != membership.StateDead {
		m.Sequence++
	}
	s.tables[s.random.IntN(len(s.tables))].Merge(m, testTime)
}

// A change must reach all balancers of the largest fleet within 2 s, and within 5 s when all pushes are lost.
func TestChangeReachesTheWholeFleet(t *testing.T) {
	s := newPropagation(fleetBalancers, 20, true)
	s.change("target-0007", membership.StateDraining)
	elapsed, bytes := s.runUntilConverged(t, 2*time.Second)
	t.Logf("push and exchange: %v, %d bytes of messages per balancer", elapsed, bytes)
	s.pushing = false
	s.change("target-0008", membership.StateDraining)
	elapsed, bytes = s.runUntilConverged(t, 5*time.Second)
	t.Logf("exchange only: %v, %d bytes of messages per balancer", elapsed, bytes)
}

// BenchmarkPropagation reports, for several fleets and numbers of concurrent changes, the time until all tables are
// equal and the mean bytes of messages that a balancer sends and receives, without framing. Run it with -benchtime 1x.
func BenchmarkPropagation(b *testing.B) {
	for _, balancers := range []int{60, 245, fleetBalancers} {
		agents := balancers * fleetAgents / fleetBalancers
		s := newPropagation(balancers, agents, true)
		next := 0
		b.Run(fmt.Sprintf("balancers=%d/changes=0", balancers), func(b *testing.B) {
			for b.Loop() {
				for range int(time.Second / pushStep) {
					s.runStep()
				}
			}
			b.ReportMetric(float64(s.takeMeanBytes())/float64(b.N), "B/balancer")
		})
		for _, changes := range []int{1, 20, balancers * 471 / fleetBalancers} {
			for _, state := range []membership.State{membership.StateDraining, membership.StateDead} {
				b.Run(fmt.Sprintf("balancers=%d/changes=%d/%s", balancers, changes, state), func(b *testing.B) {
					benchmarkChanges(b, s, &next, agents, changes, state)
				})
			}
		}
	}
}

func benchmarkChanges(b *testing.B, s *propagation, next *int, agents, changes int, state membership.State) {
	var elapsed time.Duration
	var bytes int
	for b.Loop() {
		for range changes {
			s.change(fmt.Sprintf("target-%04d", *next%agents), state)
			*next++
		}
		e, n := s.runUntilConverged(b, time.Minute)
		elapsed += e
		bytes += n
	}
	b.ReportMetric(elapsed.Seconds()/float64(b.N), "s")
	b.ReportMetric(float64(bytes)/float64(b.N), "B/balancer")
}
