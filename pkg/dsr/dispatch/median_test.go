package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// answers makes agent i known, whose target's answers to requests for address 7 are as said.
func (f *fixture) answers(i int, leastMs, leastBytes uint32) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
		Announcement: &dsrpb.Announcement{
			DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i),
			Answers: []*dsrpb.Answer{{Address: 7, LeastUs: leastMs * 1000, LeastBytes: leastBytes}},
		},
	})
}

func TestTheUsualAnswerIsThatOfTheMedianTarget(t *testing.T) {
	f := newFixture(t)
	f.answers(1, 16, 500)
	f.answers(2, 1, 171)
	require.Empty(t, f.b.MedianResponses(f.now, agentAt(1)), "of two, either could be the one that fails")
	f.answers(3, 18, 520)
	f.pass(usualAge)
	usual := f.b.MedianResponses(f.now, agentAt(2))
	require.Len(t, usual, 1)
	require.Equal(t, uint32(16_000), usual[0].LeastUs)
	require.Equal(t, uint32(500), usual[0].LeastBytes)
	require.Empty(t, f.b.MedianResponses(f.now, agentAt(9)), "an agent that is not known")
	f.pass(time.Minute)
	require.Empty(t, f.b.MedianResponses(f.now, agentAt(2)), "targets that were silent for long do not count")
}
