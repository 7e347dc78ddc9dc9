package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
)

// Starts of three incarnations, in Unix milliseconds.
const (
	startFirst  = 1_790_000_000_000
	startSecond = startFirst + 1500
	startThird  = startSecond + 1
)

// report is a report of an incarnation of a target.
func report(id string, startedMs, sequence uint64, s announcement.State) announcement.Announcement {
	return announcement.Announcement{ID: id, StartedMs: startedMs, Service: "route-svc", Slots: 2, Sequence: sequence, State: s}
}

// step is one report or deregistration, and its result.
type step struct {
	report announcement.Announcement
	// deregister makes the step a deregistration.
	deregister bool
	reason     announcement.Reason
	state      dsrpb.State
}

const (
	ready    = announcement.Ready
	draining = announcement.Draining
	absent   = dsrpb.State_STATE_ABSENT
	serving  = dsrpb.State_STATE_READY
	leaving  = dsrpb.State_STATE_LEAVING
)

func reports(id string, startedMs, sequence uint64, s announcement.State, want dsrpb.State) step {
	return step{report: report(id, startedMs, sequence, s), state: want}
}

func deregisters(id string, startedMs uint64, want dsrpb.State) step {
	return step{report: announcement.Announcement{ID: id, StartedMs: startedMs}, deregister: true, state: want}
}

func (s step) rejected(r announcement.Reason) step {
	s.reason = r
	return s
}

func TestStartTimesOrderIncarnations(t *testing.T) {
	foreign := reports("x", startThird, 1, ready, serving)
	foreign.report.Service = "other"
	elsewhere := reports("a", startThird, 1, ready, serving)
	elsewhere.report.Address = caller(80)
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the same name restarts with a new sequence", []step{
			reports("a", startFirst, 40, ready, serving), reports("a", startSecond, 1, ready, serving),
			reports("a", startFirst, 41, draining, serving).rejected(announcement.EarlierIncarnation),
			reports("a", startSecond, 2, draining, leaving),
		}},
		{"a new incarnation ends a drain", []step{
			reports("a", startFirst, 40, draining, leaving), reports("a", startSecond, 1, ready, serving),
		}},
		{"an incarnation after a deregistration", []step{
			reports("a", startFirst, 40, draining, leaving), deregisters("a", startFirst, leaving),
			reports("a", startFirst, 41, ready, leaving), reports("a", startFirst, 41, ready, leaving),
			reports("a", startSecond, 1, ready, serving),
		}},
		{"a late deregistration of an earlier incarnation is rejected", []step{
			reports("a", startFirst, 4, ready, serving), reports("a", startSecond, 1, ready, serving),
			deregisters("a", startFirst, serving).rejected(announcement.EarlierIncarnation),
			deregisters("b", startFirst, serving).rejected(announcement.EarlierIncarnation),
		}},
		{"a deregistration without a start, of a target that does not drain", []step{
			reports("a", startFirst, 4, ready, serving), deregisters("a", 0, serving).rejected(announcement.UnknownIncarnation),
		}},
		{"a deregistration without a start, of a target that drains", []step{
			reports("a", startFirst, 4, draining, leaving), deregisters("a", 0, leaving),
		}},
		{"a deregistration of a later incarnation without announcements", []step{
			reports("a", startFirst, 4, ready, serving), deregisters("a", startSecond, absent),
			reports("a", startFirst, 5, ready, absent).rejected(announcement.EarlierIncarnation),
		}},
		{"a deregistration before the first report", []step{
			deregisters("a", startSecond, absent), reports("a", startFirst, 5, ready, absent).rejected(announcement.EarlierIncarnation),
			reports("b", startThird, 1, ready, serving),
		}},
		{"another name, later", []step{
			reports("a", startFirst, 4, ready, serving), reports("b", startSecond, 1, ready, serving),
			reports("a", startFirst, 5, ready, serving).rejected(announcement.EarlierIncarnation),
			reports("a", startThird, 1, ready, serving),
		}},
		{"another name with the same start", []step{
			reports("a", startFirst, 4, ready, serving), reports("b", startFirst, 5, draining, serving).rejected(announcement.UnknownIncarnation),
			deregisters("b", startFirst, serving).rejected(announcement.UnknownIncarnation),
		}},
		{"a report without a start, of a target that reports its own", []step{
			reports("a", startFirst, 4, ready, serving), reports("a", 0, 5, draining, serving).rejected(announcement.UnknownIncarnation),
			reports("b", 0, 1, ready, serving).rejected(announcement.UnknownIncarnation),
		}},
		{"a target that begins to report its start", []step{
			reports("a", 0, 40, draining, leaving), reports("a", startFirst, 1, ready, serving),
		}},
		{"an outdated report within an incarnation", []step{
			reports("a", startFirst, 4, draining, leaving), reports("a", startFirst, 3, ready, leaving),
		}},
		{"another service", []step{
			reports("a", startFirst, 4, ready, serving), foreign.rejected(announcement.WrongService),
			reports("a", startFirst, 5, ready, serving),
		}},
		{"another address", []step{
			reports("a", startFirst, 4, ready, serving), elsewhere.rejected(announcement.WrongAddress),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Target: balancer})
			f.table = NewTable(f.table.cfg, dsrtest.Codec{}, f.out, f.now)
			for i, s := range c.steps {
				var err error
				if s.deregister {
					err = f.table.TargetLeft(f.now, announcement.Deregistration{ID: s.report.ID, StartedMs: s.report.StartedMs})
				} else {
					_, err = f.table.Announce(f.now, s.report)
				}
				if err == nil && f.table.AwaitsProof(f.now) {
					f.table.HealthChecked(f.now, announcement.HealthCheck{ID: s.report.ID, StartedMs: s.report.StartedMs, Began: f.now})
				}
				if s.reason == "" {
					require.NoError(t, err, i)
				} else {
					var r *announcement.Rejection
					require.ErrorAs(t, err, &r, i)
					require.Equal(t, s.reason, r.Reason, i)
				}
				require.Equal(t, s.state, f.table.State(f.now), i)
			}
		})
	}
}

// A target that does not report its start: a replaced name is accepted again only when its successor is silent.
func TestANameThatWasReplacedByALateReportComesBack(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("late", 0, 90, ready))
	f.now = f.now.Add(time.Second)
	_, err := f.table.Announce(f.now, report("i-1", 0, f.beat+1, ready))
	require.Error(t, err, "its successor may be running")
	f.now = f.now.Add(3 * time.Second)
	_, err = f.table.Announce(f.now, report("i-1", 0, f.beat, ready))
	require.Error(t, err, "its sequence does not continue")
	require.True(t, f.apply(report("i-1", 0, f.beat+4, ready)))
	require.Equal(t, serving, f.table.State(f.now))
	require.Equal(t, "i-1", f.table.TargetIncarnation().ID)
}

// A caller whose request an earlier incarnation was working on is reset as soon as the new one returns the request,
// instead of waiting until its timeout. Queued flows are offered to the new incarnation.
func TestANewIncarnationStartsWithoutState(t *testing.T) {
	for _, startedMs := range []uint64{0, startSecond} {
		f := newFixture(t, Config{})
		f.apply(report("i-1", startedMs/startSecond*startFirst, 20, ready))
		f.accept(1)
		f.data(1, 1001, true)
		f.accept(2)
		f.open(3)
		f.open(4)
		require.Equal(t, 4, f.table.Busy(), "two are open, one is offered, one is queued")
		f.table.recordWorkTime(f.now, time.Second)
		f.out.target, f.out.messages = nil, nil

		require.True(t, f.apply(report("i-2", startedMs, 1, ready)))
		require.Empty(t, f.out.resets, "the new process may hold them")
		require.Equal(t, DefaultWorkTime, f.table.workTime())
		require.Len(t, f.out.target, 2, "the request in progress, and the offered opening packet")
		require.Empty(t, f.out.messages, "either process may open the offered flow")
		f.returnPacket(1, segment.ACK)
		require.Equal(t, []flow.Key{keyOfCaller(1)}, f.out.resets)
		require.Equal(t, dsrpb.Verdict_VERDICT_RESET, f.out.last(t).verdict)
		require.Len(t, f.out.target, 3, "the queued opening packet")
		for _, port := range []int{3, 4} {
			f.target(port, segment.SYN|segment.ACK, uint32(port)*1000, "")
			require.Equal(t, dsrpb.Verdict_VERDICT_HELD, f.out.last(t).verdict)
			f.data(port, uint32(port)*1000+1, true)
			require.Equal(t, "GET", string(dsrtest.Data(f.out.target[port])))
		}
	}
}

// A flow whose opening packet the last incarnation had left unanswered was declined then; the next one is not offered it.
func TestAFlowThatWasDeclinedAsSilentIsNotOfferedToTheNextIncarnation(t *testing.T) {
	f := newFixture(t, Config{})
	f.open(1)
	f.pass(OfferTimeout)
	require.Equal(t, dsrpb.Verdict_VERDICT_SILENT, f.out.last(t).verdict)
	f.out.target = nil
	f.apply(report("i-2", 0, 1, ready))
	require.Empty(t, f.out.target)
}

// A flow that the new incarnation has accepted before its first report is not disturbed.
func TestAFlowOfTheNewIncarnationIsKept(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i-1", startFirst, 20, ready))
	f.accept(1)
	f.data(1, 1001, true)
	f.apply(report("i-1", startSecond, 1, ready))
	f.target(1, segment.ACK, 1001, "200")
	require.Len(t, f.out.caller, 2)
	require.Empty(t, f.out.resets)
	require.Zero(t, f.table.Busy())
}

// A caller that acknowledges another number has chosen another target: it is not reset when the new incarnation
// returns its packet.
func TestACallerOfAnotherTargetIsNotReset(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i-1", startFirst, 20, ready))
	f.accept(1)
	f.data(1, 1002, true)
	f.apply(report("i-1", startSecond, 1, ready))
	f.returnPacket(1, segment.ACK)
	require.Empty(t, f.out.resets)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
}

// The first report that an agent receives ends no earlier incarnation: returned flows stay known, and a request that
// the target works on is not sent twice.
func TestTheFirstReportEndsNoIncarnation(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = NewTable(Config{Service: "route-svc", HeartbeatInterval: time.Second}, dsrtest.Codec{}, f.out, f.now)
	f.data(1, 1001, true)
	f.returnPacket(1, segment.ACK)
	f.target(2, segment.SYN|segment.ACK, 2000, "")
	f.data(2, 2001, true)
	f.out.target, f.out.messages = nil, nil
	f.apply(report("i-1", startFirst, 20, ready))
	require.Empty(t, f.out.target)
	f.table.Locate(f.now, balancer, locate(keyOfCaller(1)))
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
}
