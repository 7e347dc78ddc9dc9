package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// An agent that restarts on a VM whose target has ended must not keep searches for open flows undecided: nobody there can
// return a packet.
func TestAnAgentWithoutAProcessHoldsNoFlow(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
	require.True(t, f.table.TargetNotRunning(f.now))
	require.False(t, f.table.TargetNotRunning(f.now), "only the first report changes something")
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.table.verdict(f.now, keyOfCaller(1)))
	require.True(t, f.table.Announcement(f.now, true, 0).Announcement.TargetEnded)
	f.beat = 0
	f.announce(announcement.Ready)
	require.False(t, f.table.Announcement(f.now, true, 0).Announcement.TargetEnded)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.table.verdict(f.now, keyOfCaller(1)), "the agent was there before the process")
}

func TestARunningTargetIsNotTakenAsEnded(t *testing.T) {
	f := newFixture(t, Config{})
	require.False(t, f.table.TargetNotRunning(f.now))
	require.False(t, f.table.Announcement(f.now, true, 0).Announcement.TargetEnded)
}

// A caller that goes on with a flow of a process that has ended would wait until its timeout: the packet goes back, so that
// the balancer finds that nobody holds the flow.
func TestAPacketOfAFlowWhoseTargetHasEndedGoesBack(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.accept(1)
	f.data(1, 1001, true)
	f.target(1, segment.ACK, 1001, "200")
	f.announce(announcement.Draining)
	require.NoError(t, f.table.TargetLeft(f.now, announcement.Deregistration{ID: "i-1"}))
	require.True(t, f.table.TargetNotRunning(f.now))
	require.True(t, f.table.Announcement(f.now, true, 0).Announcement.TargetEnded)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.table.verdict(f.now, keyOfCaller(1)))
	before := len(f.out.target)
	f.data(1, 1004, true)
	require.Len(t, f.out.target, before)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
}

// A connection to a running target was refused at its agent's start. The agent took the target for one that had started after
// that, and its older flows for gone.
func TestAProcessThatIsOlderThanARefusedConnectionKeepsItsFlows(t *testing.T) {
	for sequence, want := range map[uint64]dsrpb.Verdict{1: dsrpb.Verdict_VERDICT_NOT_HELD, 2: dsrpb.Verdict_VERDICT_NOT_HELD, 40: dsrpb.Verdict_VERDICT_UNKNOWN} {
		f := newFixture(t, Config{})
		f.table = newTestTable(f, Config{})
		require.True(t, f.table.TargetNotRunning(f.now))
		f.now = f.now.Add(100 * time.Millisecond)
		require.True(t, f.probe("i-1"))
		f.now = f.now.Add(time.Second)
		f.apply(report("i-1", 0, sequence, announcement.Ready))
		require.Equal(t, want, f.table.verdict(f.now, keyOfCaller(1)), "report %d", sequence)
	}
}
