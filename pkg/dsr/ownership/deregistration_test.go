package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

// leave deregisters the target's process, which holds the flow of caller 1.
func (f *fixture) leave() {
	f.accept(1)
	f.data(1, 1001, true)
	f.target(1, segment.ACK, 1001, "200")
	f.announce(announcement.Draining)
	require.NoError(f, f.table.TargetLeft(f.now, announcement.Deregistration{ID: "i-1"}))
}

// The acknowledgement of a deregistration is lost and the target runs on: its agent took its open flows for gone, and balancers
// reset them.
func TestATargetThatRunsOnAfterItsDeregistrationKeepsItsFlows(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.leave()
	require.True(t, f.table.AwaitsTargetEnd())
	for range 5 {
		require.Equal(t, dsrpb.Verdict_VERDICT_HELD, f.table.verdict(f.now, keyOfCaller(1)))
		require.False(t, f.table.Announcement(f.now, true, 0).Announcement.TargetEnded)
		require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
		f.now = f.now.Add(time.Second)
		f.announce(announcement.Draining)
	}
	before := len(f.out.target)
	f.data(1, 1004, true)
	require.Len(t, f.out.target, before+1, "the request reaches the target")
}

// A report that overtakes or follows a deregistration must not bring new flows to a target that leaves.
func TestAReadyReportAfterADeregistrationBringsNoNewFlows(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.leave()
	f.announce(announcement.Ready)
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
	f.open(2)
	require.Equal(t, dsrpb.Verdict_VERDICT_LEAVING, f.out.last(t).verdict)
}

// A refused health check was believed although the process sent packets and reports afterwards.
func TestATargetThatIsHeardOfAfterARefusedHealthCheckKeepsItsFlows(t *testing.T) {
	for name, hear := range map[string]func(f *fixture){
		"by a packet": func(f *fixture) { f.target(1, segment.ACK, 1004, "more") },
		"by a report": func(f *fixture) { f.announce(announcement.Draining) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Config{First: true})
			f.leave()
			require.True(t, f.table.TargetNotRunning(f.now))
			f.data(1, 1004, true)
			require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
			hear(f)
			require.False(t, f.table.Announcement(f.now, true, 0).Announcement.TargetEnded)
			require.Equal(t, dsrpb.Verdict_VERDICT_HELD, f.table.verdict(f.now, keyOfCaller(1)))
			require.True(t, f.table.AwaitsTargetEnd(), "its end has to be proved again")
			require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
		})
	}
}

// The process that follows a deregistered one gets new flows at once; late reports of the former are rejected.
func TestTheNextProcessFollowsADeregisteredOne(t *testing.T) {
	for _, ended := range []bool{false, true} {
		f := newFixture(t, Config{First: true})
		f.leave()
		if ended {
			require.True(t, f.table.TargetNotRunning(f.now))
		}
		require.True(t, f.apply(report("i-2", 0, 1, announcement.Ready)))
		require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now))
		require.False(t, f.table.AwaitsTargetEnd())
		_, err := f.table.Announce(f.now, report("i-1", 0, f.beat+1, announcement.Ready))
		require.Error(t, err)
		require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now))
	}
}

// The next process may answer a health check before it reports.
func TestAHealthCheckFindsTheNextProcess(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.leave()
	require.False(t, f.probe("i-1"), "the process that has deregistered")
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
	require.True(t, f.probe("i-2"))
	require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now))
}
