package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// queuedFlow opens the flow from port 1, which waits at agent 1.
func queuedFlow(t *testing.T) *fixture {
	f := newFixture(t)
	f.announceReady(1, "dc-1", 5)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
	f.decline(1, 1, dsrpb.Verdict_VERDICT_QUEUED)
	return f
}

// A balancer that was not told that a queued flow is open, since the message was lost or went to another balancer, kept the packets of
// its caller for good.
func TestPacketsOfAFlowThatCountsAsQueuedReachItsTarget(t *testing.T) {
	f := queuedFlow(t)
	f.data(1, 1001, "request")
	f.pass(time.Second)
	require.Equal(t, dsrpb.Kind_KIND_LOCATE, f.takeSent()[0].kind)
	f.located(1, 1, dsrpb.Verdict_VERDICT_HELD)
	m := f.asked()
	require.Equal(t, dsrpb.Kind_KIND_FORWARD, m.kind)
	require.Equal(t, agentAt(1), m.to)
	f.data(1, 1001, "more")
	require.Equal(t, agentAt(1), f.asked().to)
}

// The usual order, in which the agent's message arrives while the owner is asked for.
func TestAQueuedFlowIsOpenOnceItsAgentSaysSo(t *testing.T) {
	f := queuedFlow(t)
	f.data(1, 1001, "request")
	f.takeSent()
	f.accept(1, 1, 1000)
	require.Equal(t, dsrpb.Kind_KIND_FORWARD, f.asked().kind)
	require.Empty(t, f.out.resets)
}

// A caller that gives up resets its flow; nobody is asked for that.
func TestAResetOfAQueuedFlowStartsNoSearch(t *testing.T) {
	f := queuedFlow(t)
	f.packet(dsrtest.Packet{Source: caller(1), Destination: service, Flags: segment.RST})
	f.pass(time.Second)
	require.Empty(t, f.takeSent())
}
