package ownership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// sendData sends data of a caller at a place in the flow.
func (f *fixture) sendData(port int, sequence uint32, text string) {
	p := dsrtest.Packet{
		Source: caller(port), Destination: service, Flags: segment.ACK, Sequence: sequence,
		Acknowledgement: uint32(port)*1000 + 1, Data: []byte(text),
	}
	f.forward(p, &dsrpb.Message{Owner: true})
}

func TestAnAgentReportsFlowsWithSeveralRequests(t *testing.T) {
	f := newFixture(t, Config{})
	reported := func() bool { return f.table.Announcement(f.now, true, 0).Announcement.RepeatedRequests }
	f.accept(1)
	f.sendData(1, 8, "POST")
	f.sendData(1, 12, "body")
	require.False(t, reported(), "one request in two packets")
	f.target(1, segment.ACK, 1001, "200")
	f.sendData(1, 12, "body")
	require.False(t, reported(), "a retransmission")
	f.sendData(1, 16, "GET")
	require.True(t, reported())
	f.pass(MaxFlowAge)
	require.True(t, reported())
	f.pass(sweepInterval)
	require.False(t, reported(), "no flow of then is open")
}
