package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// check passes the table the answer of a process to a health check that was started at a time.
func (f *fixture) check(id string, ready bool, began time.Time) bool {
	return f.table.HealthChecked(f.now, announcement.HealthCheck{ID: id, Ready: ready, Began: began})
}

// Two late reports between two reports of a draining target made it ready again, and its own reports were rejected.
func TestTwoLateReportsBetweenTwoOfADrainingTargetDoNotEndItsDrain(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.announce(announcement.Draining)
	f.now = f.now.Add(50 * time.Millisecond)
	f.unconfirmed(report("late", 0, 1, announcement.Ready))
	f.now = f.now.Add(800 * time.Millisecond)
	f.unconfirmed(report("late", 0, 2, announcement.Ready))
	require.Equal(t, leaving, f.table.State(f.now))
	require.True(t, f.table.AwaitsProof(f.now))
	f.now = f.now.Add(100 * time.Millisecond)
	f.beat++
	_, err := f.table.Announce(f.now, report("i-1", 0, f.beat, announcement.Draining))
	require.NoError(t, err, "the running process is acknowledged")
	require.Equal(t, leaving, f.table.State(f.now))
	require.False(t, f.check("i-1", false, f.now), "a process that leaves names itself too")
	require.False(t, f.table.AwaitsProof(f.now))
}

// An agent that had just started took the first report that it heard for one of the running process, which drained.
func TestALateReportAfterAnAgentsStartBringsNoFlowsToADrainingTarget(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	_, err := f.table.Announce(f.now, report("late", 0, 1, announcement.Ready))
	require.NoError(t, err)
	require.Equal(t, absent, f.table.State(f.now), "one report may be late")
	require.True(t, f.table.AwaitsProof(f.now))
	f.check("i-1", false, f.now)
	require.Equal(t, absent, f.table.State(f.now))
	f.announce(announcement.Draining)
	require.Equal(t, leaving, f.table.State(f.now))
	_, err = f.table.Announce(f.now, report("late", 0, 2, announcement.Ready))
	require.Error(t, err)
	require.Equal(t, leaving, f.table.State(f.now))
}

// Targets that answer no health check are used after their second report.
func TestATargetThatAnswersNoHealthCheckIsUsedOnceItReportsAgain(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	for sequence, want := range []dsrpb.State{absent, serving} {
		_, err := f.table.Announce(f.now, report("i-1", 0, uint64(sequence+1), announcement.Ready))
		require.NoError(t, err)
		require.Equal(t, want, f.table.State(f.now))
		f.now = f.now.Add(time.Second)
	}
}

// The answer of a process may arrive after that process has ended and the next one has reported.
func TestAHealthCheckFromBeforeAReportDecidesNothingAboutIt(t *testing.T) {
	f := newFixture(t, Config{})
	began := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	f.announce(announcement.Ready)
	require.False(t, f.check("i-0", true, began))
	require.Equal(t, "i-1", f.table.TargetIncarnation().ID)

	f.unconfirmed(report("i-2", 0, 1, announcement.Ready))
	f.check("i-1", true, began)
	require.True(t, f.table.AwaitsProof(f.now), "the next process may have started since")
	f.now = f.now.Add(100 * time.Millisecond)
	require.True(t, f.check("i-2", true, f.now))
	require.Equal(t, "i-2", f.table.TargetIncarnation().ID)
}

// A late first report made an agent that had restarted take flows from before its start for gone.
func TestAFirstReportWithoutProofExcludesNoFlow(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	f.now = f.now.Add(5 * time.Second)
	_, err := f.table.Announce(f.now, report("late", 0, firstSequence, announcement.Ready))
	require.NoError(t, err)
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
	f.check("i-1", true, f.now)
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
}

// A process that has answered a health check before its first report arrived may be older than the agent.
func TestALateFirstReportOfAKnownProcessExcludesNoFlow(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	f.probe("i-1")
	f.now = f.now.Add(5 * time.Second)
	f.apply(report("i-1", 0, firstSequence, announcement.Ready))
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
}

// Two processes that answer one after the other show that the agent ran when the second one started.
func TestTheProcessAfterOneThatAnsweredAHealthCheckIsKnownFromItsStart(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	f.probe("i-1")
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
	f.now = f.now.Add(time.Second)
	f.probe("i-2")
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.table.verdict(f.now, keyOfCaller(1)))
}

// A process that has deregistered and answers a health check runs on; it is not ready again.
func TestAHealthCheckOfADeregisteredProcessBringsItNoNewFlows(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	require.NoError(t, f.table.TargetLeft(f.now, announcement.Deregistration{ID: "i-1"}))
	f.probe("i-1")
	require.Equal(t, leaving, f.table.State(f.now))
	require.True(t, f.table.AwaitsTargetEnd())
}

// A process whose clock was set back before its start was rejected as an earlier one for good.
func TestAProcessWhoseClockWasSetBackIsUsed(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i", startSecond, 40, announcement.Ready))
	_, err := f.table.Announce(f.now, report("i", startFirst, 1, announcement.Ready))
	require.Error(t, err, "it may be a late report")
	require.True(t, f.table.AwaitsProof(f.now))
	require.True(t, f.table.HealthChecked(f.now, announcement.HealthCheck{ID: "i", StartedMs: startFirst, Ready: true, Began: f.now}))
	f.apply(report("i", startFirst, 2, announcement.Draining))
	require.Equal(t, leaving, f.table.State(f.now))
	require.EqualValues(t, startFirst, f.table.TargetIncarnation().StartedMs)
	_, err = f.table.Announce(f.now, report("i", startSecond, 41, announcement.Ready))
	require.Error(t, err, "a health check has excluded it")
	require.Equal(t, leaving, f.table.State(f.now))
}

// An answer without a start cannot tell two processes of one name apart.
func TestAHealthCheckWithoutAStartDecidesNothingBetweenProcessesOfOneName(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i", startSecond, 40, announcement.Ready))
	_, err := f.table.Announce(f.now, report("i", startFirst, 1, announcement.Ready))
	require.Error(t, err)
	require.False(t, f.check("i", true, f.now))
	require.True(t, f.table.AwaitsProof(f.now))
	require.EqualValues(t, startSecond, f.table.TargetIncarnation().StartedMs)
}

// A process that had been silent was taken for the running one again on a late report, while another one ran that leaves.
func TestALateReportAfterASilenceIsChecked(t *testing.T) {
	f := newFixture(t, Config{})
	f.now = f.now.Add(5 * time.Second)
	require.NoError(t, f.table.TargetLeft(f.now, announcement.Deregistration{ID: "i-2"}))
	require.True(t, f.table.AwaitsProof(f.now), "a process that the agent does not know has run")
	f.beat++
	_, err := f.table.Announce(f.now, report("i-1", 0, f.beat, announcement.Ready))
	require.NoError(t, err)
	require.Equal(t, absent, f.table.State(f.now))
	f.check("i-2", true, f.now)
	require.Equal(t, leaving, f.table.State(f.now))
}

// What a process had reported was forgotten when a late report replaced it.
func TestAProcessThatComesBackKeepsWhatItHasReported(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i", startFirst, 4, announcement.Draining))
	_, err := f.table.Announce(f.now, report("i", startSecond, 1, announcement.Ready))
	require.NoError(t, err)
	require.Equal(t, absent, f.table.State(f.now), "the one before drains, and may run")
	f.table.HealthChecked(f.now, announcement.HealthCheck{ID: "i", StartedMs: startFirst, Ready: true, Began: f.now})
	require.Equal(t, leaving, f.table.State(f.now))
	require.EqualValues(t, 4, f.table.TargetIncarnation().Sequence)
}
