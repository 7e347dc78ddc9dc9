package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// announceFailing delivers an announcement of agent i with a failing target.
func (f *fixture) announceFailing(i int) {
	f.b.FromAgent(f.now, agentAt(i), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc",
		Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i), Failing: true},
	})
}

func TestFailingTargetIsAvoidedWhileOthersAreUsable(t *testing.T) {
	f := newFixture(t)
	f.announceFailing(1)
	f.announceReady(2, "dc-2", 9)
	f.announceReady(3, "dc-2", 9)
	f.open(1)
	asked := f.asked()
	require.NotEqual(t, agentAt(1), asked.to, "busy targets elsewhere come before a free failing one")
	require.Equal(t, dsrpb.Patience_PATIENCE_QUEUE, asked.patience)
}

// When most targets of a service seem to fail, the cause is unlikely to be in the targets: they stay in use.
func TestMajorityOfTargetsIsNeverExcluded(t *testing.T) {
	f := newFixture(t)
	f.announceFailing(1)
	f.announceFailing(2)
	f.announceReady(3, "dc-1", 9)
	f.open(1)
	require.NotEqual(t, agentAt(3), f.asked().to)
}

func TestLastTargetIsNeverExcluded(t *testing.T) {
	f := newFixture(t)
	f.announceFailing(1)
	f.open(1)
	require.Equal(t, agentAt(1), f.asked().to)
	require.Empty(t, f.out.refusals)
}
