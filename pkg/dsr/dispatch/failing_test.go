package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// failing makes agent i known whose target fails.
func (f *fixture) failing(i int) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
		Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i), Failing: true},
	})
}

func TestATargetThatFailsGetsNoFlowWhileOthersCan(t *testing.T) {
	f := newFixture(t)
	f.failing(1)
	f.ready(2, "dc-2", 9)
	f.ready(3, "dc-2", 9)
	f.open(1)
	asked := f.asked()
	require.NotEqual(t, agentAt(1), asked.to, "a free one that fails, against busy ones elsewhere")
	require.Equal(t, dsrpb.Patience_PATIENCE_QUEUE, asked.patience)
}

// When most targets of a service seem to fail, the reason is not theirs: they are used as ever.
func TestMostTargetsAreNeverLeftOut(t *testing.T) {
	f := newFixture(t)
	f.failing(1)
	f.failing(2)
	f.ready(3, "dc-1", 9)
	f.open(1)
	require.NotEqual(t, agentAt(3), f.asked().to)
}

func TestTheLastTargetIsNeverLeftOut(t *testing.T) {
	f := newFixture(t)
	f.failing(1)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
	require.Empty(t, f.out.refusals)
}
