package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// openLimited sends an opening packet under a configuration that declares a connection limit.
func (f *fixture) openLimited(port, limit int, configuration uint64) {
	f.forward(opening(port), &dsrpb.Message{
		Patience:      dsrpb.Patience_PATIENCE_QUEUE,
		Configuration: configuration,
		Opening:       &dsrpb.Opening{MaxConnections: uint32(limit), PatienceMs: 1200},
	})
}

// acceptLimited opens a flow under a connection limit, up to the target's answer.
func (f *fixture) acceptLimited(port, limit int) {
	f.openLimited(port, limit, 5)
	f.target(port, segment.SYN|segment.ACK, uint32(port)*1000, "")
	f.pass(time.Second)
}

func TestATargetIsOfferedNoFlowBeyondItsConnectionLimit(t *testing.T) {
	f := newFixture(t, Config{First: true})
	for port := 1; port <= 3; port++ {
		f.acceptLimited(port, 3)
	}
	before := len(f.out.target)
	f.openLimited(4, 3, 5)
	require.Equal(t, dsrpb.Verdict_VERDICT_CONNECTIONS, f.out.last(t).verdict)
	require.Len(t, f.out.target, before, "the target gets nothing")
	f.data(1, 1001, true)
	require.Len(t, f.out.target, before+1, "open flows are served on")
}

func TestAClosedFlowMakesRoomUnderTheConnectionLimit(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.acceptLimited(1, 1)
	f.target(1, segment.FIN|segment.ACK, 1001, "")
	before := len(f.out.target)
	f.openLimited(2, 1, 5)
	require.Len(t, f.out.target, before+1, "the flow is offered")
}

func TestAChangedConnectionLimitAppliesToTheNextFlow(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.acceptLimited(1, 1)
	before := len(f.out.target)
	f.openLimited(2, 2, 6)
	require.Len(t, f.out.target, before+1, "the flow is offered")
	f.openLimited(3, 9, 5)
	require.Len(t, f.out.target, before+1, "an earlier configuration does not raise the limit again")
}

func TestABalancerOfAnEarlierReleaseDoesNotLiftTheConnectionLimit(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.acceptLimited(1, 1)
	before := len(f.out.target)
	f.openLimited(2, 0, 5)
	require.Len(t, f.out.target, before, "the balancer does not send the limit")
	f.openLimited(3, 0, 6)
	require.Len(t, f.out.target, before+1, "a later configuration declares none")
}

func TestNoDeclaredLimitMeansNone(t *testing.T) {
	f := newFixture(t, Config{First: true})
	for port := 1; port <= 40; port++ {
		f.acceptLimited(port, 0)
	}
	require.Equal(t, 40, f.table.Connections())
}

// The number of connections is kept by counting; it must agree with the flows after any sequence of packets.
func TestConnectionCountAgreesWithTheFlows(t *testing.T) {
	for seed := range uint64(150) {
		f := newFixture(t, Config{First: true})
		random := rand.New(rand.NewPCG(seed, 1))
		for range 200 {
			f.randomStep(random)
			held := 0
			for _, e := range f.table.flows {
				if e.phase != ended && !e.targetClosed {
					held++
				}
			}
			require.Equal(t, held, f.table.Connections(), "seed %d", seed)
		}
	}
}

// randomStep lets a caller or the target of one of eight flows send a packet, or time pass.
func (f *fixture) randomStep(random *rand.Rand) {
	port := 1 + random.IntN(8)
	switch random.IntN(8) {
	case 0:
		f.openLimited(port, 4, 5)
	case 1:
		f.target(port, segment.SYN|segment.ACK, uint32(port)*1000, "")
	case 2:
		f.data(port, uint32(port)*1000+1, true)
	case 3:
		f.target(port, segment.ACK, uint32(port)*1000+1, "answer")
	case 4:
		f.target(port, segment.FIN|segment.ACK, uint32(port)*1000+7, "")
	case 5:
		f.forward(closing(port), &dsrpb.Message{Owner: true})
	case 6:
		f.forward(dsrtest.Packet{Source: caller(port), Destination: service, Flags: segment.RST}, &dsrpb.Message{Owner: true})
	case 7:
		f.pass(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
}
