package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
)

// unconfirmed passes the table a report that is rejected since another process may run.
func (f *fixture) unconfirmed(a announcement.Announcement) {
	f.Helper()
	_, err := f.table.Announce(f.now, a)
	require.True(f, announcement.IsUnconfirmed(err), "%v", err)
}

// A late first report of an ended process, which a restarted agent had not heard of, made it take the flows of the running
// process for gone.
func TestALateFirstReportDoesNotExcludeFlowsOfTheRunningProcess(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = newTestTable(f, Config{})
	for range 6 {
		f.now = f.now.Add(time.Second)
		f.announce(announcement.Ready)
	}
	f.unconfirmed(report("late", 0, firstSequence, announcement.Ready))
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
	f.announce(announcement.Ready)
	require.Equal(t, dsrpb.Verdict_VERDICT_UNKNOWN, f.table.verdict(f.now, keyOfCaller(1)))
	require.Equal(t, "i-1", f.table.TargetIncarnation().ID)
}

// A late report of an ended process made a draining target ready again.
func TestALateReportDoesNotEndADrain(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.announce(announcement.Draining)
	f.unconfirmed(report("late", 0, firstSequence, announcement.Ready))
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
	f.now = f.now.Add(time.Second)
	f.announce(announcement.Draining)
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
}

// Reports that a partition has held up arrive together, while the running process goes on.
func TestLateReportsThatArriveTogetherConfirmNothing(t *testing.T) {
	f := newFixture(t, Config{})
	for sequence := range uint64(5) {
		f.unconfirmed(report("late", 0, sequence+1, announcement.Ready))
		f.now = f.now.Add(time.Millisecond)
	}
	for sequence := uint64(6); sequence < 10; sequence++ {
		f.beat++
		_, err := f.table.Announce(f.now, report("i-1", 0, f.beat, announcement.Ready))
		require.NoError(t, err)
		f.now = f.now.Add(time.Second)
		f.unconfirmed(report("late", 0, sequence, announcement.Ready))
	}
}

// unanswered lets a process report while health checks are not answered; the number of reports is that of the last one.
func (f *fixture) unanswered(id string, reports uint64) {
	for sequence := uint64(2); sequence <= reports; sequence++ {
		f.now = f.now.Add(time.Second)
		f.unconfirmed(report(id, 0, sequence, announcement.Ready))
	}
	f.now = f.now.Add(time.Second)
}

// A process that has replaced another one is used once that is known, and its predecessor's reports are rejected.
func TestASuccessorIsConfirmed(t *testing.T) {
	for name, confirm := range map[string]func(f *fixture){
		"by a health check":                        func(f *fixture) { f.probe("i-2") },
		"by its reports while the other is silent": func(f *fixture) { f.unanswered("i-2", 4) },
		"by the end of the other": func(f *fixture) {
			require.NoError(f, f.table.TargetLeft(f.now, announcement.Deregistration{ID: "i-1"}))
			require.True(f, f.table.TargetNotRunning(f.now))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Config{})
			f.unconfirmed(report("i-2", 0, 1, announcement.Ready))
			confirm(f)
			_, err := f.table.Announce(f.now, report("i-2", 0, 9, announcement.Ready))
			require.NoError(t, err)
			require.Equal(t, "i-2", f.table.TargetIncarnation().ID)
			_, err = f.table.Announce(f.now, report("i-1", 0, f.beat+1, announcement.Ready))
			require.Error(t, err)
		})
	}
}

// A health check that the running process answers shows that another name is that of an earlier one.
func TestAHealthCheckRejectsAnEarlierProcess(t *testing.T) {
	f := newFixture(t, Config{})
	f.unconfirmed(report("late", 0, 1, announcement.Ready))
	f.probe("i-1")
	f.now = f.now.Add(time.Second)
	_, err := f.table.Announce(f.now, report("late", 0, 2, announcement.Ready))
	var r *announcement.Rejection
	require.ErrorAs(t, err, &r)
	require.Equal(t, announcement.EarlierIncarnation, r.Reason)
}

// A process that has replaced a crashed one at a target that answers no health check must not wait for proof: both say that the target
// is ready.
func TestATargetStaysReadyWhileItsSuccessorIsUnproven(t *testing.T) {
	f := newFixture(t, Config{})
	for sequence := uint64(1); sequence <= 8; sequence++ {
		_, _ = f.table.Announce(f.now, report("i-2", 0, sequence, announcement.Ready))
		require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now), "report %d", sequence)
		f.now = f.now.Add(time.Second)
	}
	require.Equal(t, "i-2", f.table.TargetIncarnation().ID)
}
