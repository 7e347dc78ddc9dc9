package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// reportAnswers delivers an announcement of agent i with the minimum answer time and size for address hash 7.
func (f *fixture) reportAnswers(i int, leastMs, leastBytes uint32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
		Announcement: &dsrpb.Announcement{
			DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i),
			Answers: []*dsrpb.Answer{{Address: 7, LeastUs: leastMs * 1000, LeastBytes: leastBytes}},
		},
	})
}

func TestMedianAnswers(t *testing.T) {
	f := newFixture(t)
	f.reportAnswers(1, 16, 500)
	f.reportAnswers(2, 1, 171)
	require.Empty(t, f.b.Usual(f.now, agentAt(1)), "either of two targets could be the failing one")
	f.reportAnswers(3, 18, 520)
	f.pass(medianMaxAge)
	medians := f.b.Usual(f.now, agentAt(2))
	require.Len(t, medians, 1)
	require.Equal(t, uint32(16_000), medians[0].LeastUs)
	require.Equal(t, uint32(500), medians[0].LeastBytes)
	require.Empty(t, f.b.Usual(f.now, agentAt(9)), "an unknown agent")
	f.pass(time.Minute)
	require.Empty(t, f.b.Usual(f.now, agentAt(2)), "targets of silent agents do not count")
}
