package ownership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// request opens a flow and sends a request on it.
func (f *fixture) request(port int) {
	f.accept(port)
	f.data(port, uint32(port)*1000+1, true)
}

func (f *fixture) announcedFailing() bool {
	return f.table.Announcement(f.now, true, 0).Announcement.Failing
}

// breaking is a packet by which a caller resets a flow.
func breaking(port int) dsrtest.Packet {
	p := closing(port)
	p.Flags |= segment.RST
	return p
}

// Each way in which a target leaves a request without an answer counts; eight failures eject the target.
func TestATargetThatFailsIsEjected(t *testing.T) {
	for name, fail := range map[string]func(f *fixture, port int){
		"resets":              func(f *fixture, port int) { f.target(port, segment.RST, uint32(port)*1000+1, "") },
		"closes without data": func(f *fixture, port int) { f.target(port, segment.FIN, uint32(port)*1000+1, "") },
		"never answers": func(f *fixture, port int) {
			f.pass(sweepInterval)
			f.pass(sweepInterval)
		},
		"answers nothing until the caller leaves": func(f *fixture, port int) {
			f.now = f.now.Add(minHangTime)
			f.forward(closing(port), &dsrpb.Message{Owner: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Config{})
			for port := 1; port <= outlier.Failures; port++ {
				require.False(t, f.announcedFailing())
				f.request(port)
				fail(f, port)
				f.target(port, segment.RST, 0, "")
				f.announce(0)
			}
			require.True(t, f.announcedFailing())
			require.Len(t, f.out.healthChanges, 1)
			require.Equal(t, outlier.Ejected, f.out.healthChanges[0].State)
			require.Equal(t, outlier.Failures, f.out.healthChanges[0].Failures)
		})
	}
}

// An ejected target takes no flow that another could take, serves when no other can, and is retried with one flow at
// a time after its ejection.
func TestAnEjectedTargetIsRetried(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= outlier.Failures; port++ {
		f.request(port)
		f.target(port, segment.RST, uint32(port)*1000+1, "")
	}
	ask := func(port int, p dsrpb.Patience) {
		f.forward(opening(port), &dsrpb.Message{Patience: p})
	}
	f.out.target = nil
	ask(10, dsrpb.Patience_PATIENCE_FREE_SLOT)
	require.Equal(t, dsrpb.Verdict_VERDICT_BUSY, f.out.last(t).verdict)
	require.Empty(t, f.out.target)
	ask(11, dsrpb.Patience_PATIENCE_QUEUE)
	require.Len(t, f.out.target, 1)
	f.target(11, segment.RST, 0, "")

	f.now = f.now.Add(outlier.BaseEjection)
	f.announce(0)
	require.False(t, f.announcedFailing())
	ask(12, dsrpb.Patience_PATIENCE_FREE_SLOT)
	ask(13, dsrpb.Patience_PATIENCE_FREE_SLOT)
	require.Len(t, f.out.target, 2, "one at a time")
	for port := 20; port < 20+outlier.RecoverySuccesses; port++ {
		f.target(12, segment.RST, 0, "")
		f.request(port)
		f.target(port, segment.ACK|segment.FIN, uint32(port)*1000+1, "200")
	}
	require.Equal(t, outlier.Healthy, f.out.healthChanges[len(f.out.healthChanges)-1].State)
}

// Callers that leave early, targets that close after their answer, and slow but answered requests are no failures.
func TestAHealthyTargetIsNotEjected(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= 60; port++ {
		f.request(port)
		switch port % 3 {
		case 0:
			f.now = f.now.Add(100 * time.Millisecond)
			f.forward(breaking(port), &dsrpb.Message{Owner: true})
		case 1:
			f.target(port, segment.ACK, uint32(port)*1000+1, "200")
			f.target(port, segment.FIN, uint32(port)*1000+4, "")
		default:
			f.now = f.now.Add(200 * time.Millisecond)
			f.target(port, segment.ACK|segment.FIN, uint32(port)*1000+4, "")
			f.target(port, segment.ACK, uint32(port)*1000+1, "200")
		}
		f.announce(0)
		f.out.messages = nil
	}
	require.Empty(t, f.out.healthChanges)
}

// Failures at an address that the target does not serve do not count.
func TestOneUnservedAddressEjectsNoTarget(t *testing.T) {
	f := newFixture(t, Config{})
	f.request(1)
	f.target(1, segment.ACK, 1001, "200")
	served := service
	t.Cleanup(func() { service = served })
	service = netip.MustParseAddrPort("198.18.0.9:443")
	for port := 2; port < 20; port++ {
		f.request(port)
		f.target(port, segment.RST, uint32(port)*1000+1, "")
	}
	require.Empty(t, f.out.healthChanges)
	service = served
	for port := 20; port < 20+outlier.Failures; port++ {
		f.request(port)
		f.target(port, segment.RST, uint32(port)*1000+1, "")
	}
	require.Len(t, f.out.healthChanges, 1)
}

func TestOutlierStateEndsWithTheIncarnation(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= outlier.Failures; port++ {
		f.request(port)
		f.target(port, segment.RST, uint32(port)*1000+1, "")
	}
	require.True(t, f.announcedFailing())
	f.apply(report("i-2", 0, 1, ready))
	require.False(t, f.announcedFailing())
}

// A request that its caller retransmits after the answer, since the answer or an acknowledgement is late, neither
// keeps a slot busy nor counts as a request without an answer.
func TestARetransmittedRequestIsNotANewOne(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= outlier.Failures; port++ {
		f.request(port)
		f.target(port, segment.ACK, uint32(port)*1000+1, "200")
		f.data(port, uint32(port)*1000+1, true)
		require.Zero(t, f.table.Busy())
		f.pass(sweepInterval)
		f.pass(sweepInterval)
		f.announce(0)
	}
	require.Empty(t, f.out.healthChanges)
	require.Equal(t, "GET", string(dsrtest.Data(f.out.target[len(f.out.target)-1])), "it is passed on nevertheless")
}

// The first data that a restarted agent sees of an older flow is a request, whatever its sequence number.
func TestTheFirstDataOfAnOlderFlowIsARequest(t *testing.T) {
	f := newFixture(t, Config{})
	f.target(1, segment.ACK, 1001, "200")
	f.forward(dsrtest.Packet{
		Source: caller(1), Destination: service, Flags: segment.ACK, Sequence: 3_000_000_000, Acknowledgement: 1004, Data: []byte("GET"),
	}, &dsrpb.Message{Owner: true})
	require.Equal(t, 1, f.table.Busy())
}

func TestTheNextRequestOfAFlowCounts(t *testing.T) {
	f := newFixture(t, Config{})
	f.request(1)
	f.target(1, segment.ACK, 1001, "200")
	f.forward(dsrtest.Packet{
		Source: caller(1), Destination: service, Flags: segment.ACK, Sequence: 3, Acknowledgement: 1004, Data: []byte("GET"),
	}, &dsrpb.Message{Owner: true})
	require.Equal(t, 1, f.table.Busy())
}

// A target that closes without an answer only follows its caller's close; after an outage many callers open their
// flows when their timeout is over, and close at once.
func TestATargetThatClosesAfterItsCallerDoesNotFail(t *testing.T) {
	f := newFixture(t, Config{})
	for port := 1; port <= 3*outlier.Failures; port++ {
		f.request(port)
		f.forward(closing(port), &dsrpb.Message{Owner: true})
		f.target(port, segment.FIN|segment.ACK, uint32(port)*1000+1, "")
		f.announce(0)
	}
	require.Empty(t, f.out.healthChanges)
}
