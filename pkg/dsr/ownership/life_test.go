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

// Starts of three lives, in Unix milliseconds.
const (
	bornFirst  = 1_790_000_000_000
	bornSecond = bornFirst + 1500
	bornThird  = bornSecond + 1
)

// report is a target's report of a life.
func report(id string, born, sequence uint64, s announcement.State) announcement.Announcement {
	return announcement.Announcement{ID: id, StartedMs: born, Service: "route-svc", Slots: 2, Sequence: sequence, State: s}
}

// step is one report or farewell, and what it comes to.
type step struct {
	report announcement.Announcement
	// leaves makes the step a farewell.
	leaves bool
	reason announcement.Reason
	state  dsrpb.State
}

const (
	ready    = announcement.Ready
	draining = announcement.Draining
	absent   = dsrpb.State_STATE_ABSENT
	serving  = dsrpb.State_STATE_READY
	leaving  = dsrpb.State_STATE_LEAVING
)

func says(id string, born, sequence uint64, s announcement.State, want dsrpb.State) step {
	return step{report: report(id, born, sequence, s), state: want}
}

func left(id string, born uint64, want dsrpb.State) step {
	return step{report: announcement.Announcement{ID: id, StartedMs: born}, leaves: true, state: want}
}

func (s step) rejected(r announcement.Reason) step {
	s.reason = r
	return s
}

func TestTheStartOfAProcessOrdersLives(t *testing.T) {
	foreign := says("x", bornThird, 1, ready, serving)
	foreign.report.Service = "other"
	elsewhere := says("a", bornThird, 1, ready, serving)
	elsewhere.report.Address = caller(80)
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the same name starts again and counts anew", []step{
			says("a", bornFirst, 40, ready, serving), says("a", bornSecond, 1, ready, serving),
			says("a", bornFirst, 41, draining, serving).rejected(announcement.EarlierIncarnation),
			says("a", bornSecond, 2, draining, leaving),
		}},
		{"a new life takes a drain back", []step{
			says("a", bornFirst, 40, draining, leaving), says("a", bornSecond, 1, ready, serving),
		}},
		{"a life after a farewell", []step{
			says("a", bornFirst, 40, draining, leaving), left("a", bornFirst, absent),
			says("a", bornFirst, 41, ready, absent).rejected(announcement.EarlierIncarnation),
			says("a", bornSecond, 1, ready, serving),
		}},
		{"a late farewell of an earlier life ends nobody", []step{
			says("a", bornFirst, 4, ready, serving), says("a", bornSecond, 1, ready, serving),
			left("a", bornFirst, serving).rejected(announcement.EarlierIncarnation),
			left("b", bornFirst, serving).rejected(announcement.EarlierIncarnation),
		}},
		{"a farewell that names no life, of a target that does not drain", []step{
			says("a", bornFirst, 4, ready, serving), left("a", 0, serving).rejected(announcement.UnknownIncarnation),
		}},
		{"a farewell that names no life, of a target that drains", []step{
			says("a", bornFirst, 4, draining, leaving), left("a", 0, absent),
		}},
		{"a farewell of a later life that nobody heard", []step{
			says("a", bornFirst, 4, ready, serving), left("a", bornSecond, absent),
			says("a", bornFirst, 5, ready, absent).rejected(announcement.EarlierIncarnation),
		}},
		{"a farewell before the first report", []step{
			left("a", bornSecond, absent), says("a", bornFirst, 5, ready, absent).rejected(announcement.EarlierIncarnation),
			says("b", bornThird, 1, ready, serving),
		}},
		{"another name, later", []step{
			says("a", bornFirst, 4, ready, serving), says("b", bornSecond, 1, ready, serving),
			says("a", bornFirst, 5, ready, serving).rejected(announcement.EarlierIncarnation),
			says("a", bornThird, 1, ready, serving),
		}},
		{"another name of the same start", []step{
			says("a", bornFirst, 4, ready, serving), says("b", bornFirst, 5, draining, serving).rejected(announcement.UnknownIncarnation),
			left("b", bornFirst, serving).rejected(announcement.UnknownIncarnation),
		}},
		{"a report without a start of a target that tells its own", []step{
			says("a", bornFirst, 4, ready, serving), says("a", 0, 5, draining, serving).rejected(announcement.UnknownIncarnation),
			says("b", 0, 1, ready, serving).rejected(announcement.UnknownIncarnation),
		}},
		{"a target that begins to tell its start", []step{
			says("a", 0, 40, draining, leaving), says("a", bornFirst, 1, ready, serving),
		}},
		{"a late copy within a life", []step{
			says("a", bornFirst, 4, draining, leaving), says("a", bornFirst, 3, ready, leaving),
		}},
		{"another service", []step{
			says("a", bornFirst, 4, ready, serving), foreign.rejected(announcement.WrongService),
			says("a", bornFirst, 5, ready, serving),
		}},
		{"another address", []step{
			says("a", bornFirst, 4, ready, serving), elsewhere.rejected(announcement.WrongAddress),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Config{Target: balancer})
			f.table = NewTable(f.table.cfg, dsrtest.Codec{}, f.out, f.now)
			for i, s := range c.steps {
				var err error
				if s.leaves {
					err = f.table.TargetLeft(f.now, announcement.Deregistration{ID: s.report.ID, StartedMs: s.report.StartedMs})
				} else {
					_, err = f.table.Announce(f.now, s.report)
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

// A target that does not tell its start: its name comes back only when the one that replaced it has fallen silent.
func TestANameThatWasReplacedByALateReportComesBack(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("late", 0, 90, ready))
	f.now = f.now.Add(time.Second)
	_, err := f.table.Announce(f.now, report("i-1", 0, f.beat+1, ready))
	require.Error(t, err, "its successor may live")
	f.now = f.now.Add(3 * time.Second)
	_, err = f.table.Announce(f.now, report("i-1", 0, f.beat, ready))
	require.Error(t, err, "it does not go on counting")
	require.True(t, f.apply(report("i-1", 0, f.beat+4, ready)))
	require.Equal(t, serving, f.table.State(f.now))
	require.Equal(t, "i-1", f.table.TargetIncarnation().ID)
}

// A caller whose request an earlier process was working on is reset as soon as the new one returns the request, where it waited
// until its time was over. What waits for its turn is offered to the new process.
func TestANewLifeHasNothingOfTheEarlierOne(t *testing.T) {
	for _, born := range []uint64{0, bornSecond} {
		f := newFixture(t, Config{})
		f.apply(report("i-1", born/bornSecond*bornFirst, 20, ready))
		f.accept(1)
		f.data(1, 1001, true)
		f.accept(2)
		f.open(3)
		f.open(4)
		require.Equal(t, 4, f.table.Busy(), "two are open, one is offered, one waits")
		f.table.recordWork(f.now, time.Second)
		f.out.target, f.out.messages = nil, nil

		require.True(t, f.apply(report("i-2", born, 1, ready)))
		require.Empty(t, f.out.resets, "the new process may hold them")
		require.Equal(t, DefaultWorkTime, f.table.workTime())
		require.Len(t, f.out.target, 2, "the request that is worked on, and the opening that waited")
		require.Equal(t, dsrpb.Verdict_VERDICT_SILENT, f.out.last(t).verdict, "the offered one is given back")
		f.returnPacket(1, segment.ACK)
		require.Equal(t, []flow.Key{keyOfCaller(1)}, f.out.resets)
		require.Equal(t, dsrpb.Verdict_VERDICT_RESET, f.out.last(t).verdict)
		f.target(4, segment.SYN|segment.ACK, 4000, "")
		f.data(4, 4001, true)
		require.Equal(t, "GET", string(dsrtest.Data(f.out.target[2])))
	}
}

// A flow that the new process has taken before its first report is known is not disturbed.
func TestAFlowThatTheNewLifeHoldsGoesOn(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i-1", bornFirst, 20, ready))
	f.accept(1)
	f.data(1, 1001, true)
	f.apply(report("i-1", bornSecond, 1, ready))
	f.target(1, segment.ACK, 1001, "200")
	require.Len(t, f.out.caller, 2)
	require.Empty(t, f.out.resets)
	require.Zero(t, f.table.Busy())
}

// A caller that acknowledges another number has chosen another target: it is not reset when the new process returns its packet.
func TestACallerOfAnotherTargetIsNotReset(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(report("i-1", bornFirst, 20, ready))
	f.accept(1)
	f.data(1, 1002, true)
	f.apply(report("i-1", bornSecond, 1, ready))
	f.returnPacket(1, segment.ACK)
	require.Empty(t, f.out.resets)
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
}

// The first report that an agent hears ends no earlier life: what the target has returned before stays known, and a request that
// the target works on is not handed over twice.
func TestTheFirstReportEndsNoLife(t *testing.T) {
	f := newFixture(t, Config{})
	f.table = NewTable(Config{Service: "route-svc", HeartbeatInterval: time.Second}, dsrtest.Codec{}, f.out, f.now)
	f.data(1, 1001, true)
	f.returnPacket(1, segment.ACK)
	f.target(2, segment.SYN|segment.ACK, 2000, "")
	f.data(2, 2001, true)
	f.out.target, f.out.messages = nil, nil
	f.apply(report("i-1", bornFirst, 20, ready))
	require.Empty(t, f.out.target)
	f.table.Locate(f.now, balancer, locate(keyOfCaller(1)))
	require.Equal(t, dsrpb.Verdict_VERDICT_NOT_HELD, f.out.last(t).verdict)
}
