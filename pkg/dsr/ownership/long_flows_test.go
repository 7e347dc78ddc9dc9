package ownership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// announced returns the announcement of the agent.
func (f *fixture) announced() *dsrpb.Announcement {
	return f.table.Announcement(f.now, true, 0).Announcement
}

// nextRequest sends a request on the flow from a port after an answered one.
func (f *fixture) nextRequest(port int) {
	f.target(port, segment.ACK, uint32(port)*1000+1, "answer")
	f.forward(dsrtest.Packet{
		Source: caller(port), Destination: service, Flags: segment.ACK,
		Sequence: 500, Acknowledgement: uint32(port)*1000 + 7, Data: []byte("GET"),
	}, &dsrpb.Message{Owner: true})
}

func TestOpenFlowsAreReported(t *testing.T) {
	f := newFixture(t, Config{})
	require.Zero(t, f.announced().Flows)
	for port := 1; port <= 3; port++ {
		f.request(port)
	}
	require.EqualValues(t, 3, f.announced().Flows)
	f.target(1, segment.FIN|segment.ACK, 1001, "")
	require.EqualValues(t, 2, f.announced().Flows)
}

func TestSeveralRequestsOnAFlowAreReported(t *testing.T) {
	f := newFixture(t, Config{})
	f.request(1)
	f.target(1, segment.ACK, 1001, "answer")
	require.False(t, f.announced().RepeatedRequests, "each flow has carried one request")
	f.nextRequest(1)
	require.True(t, f.announced().RepeatedRequests)
	f.target(1, segment.ACK, 1007, "answer")
	f.now = f.now.Add(MaxFlowAge / 2)
	require.True(t, f.announced().RepeatedRequests, "it is remembered between requests")
	f.now = f.now.Add(MaxFlowAge)
	require.False(t, f.announced().RepeatedRequests)
}
