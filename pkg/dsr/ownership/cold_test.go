package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
)

const (
	coldRate = 10
	warmTime = 2 * time.Second
)

// openCold opens a flow of a service whose cold targets take ten flows a second.
func (f *fixture) openCold(port int, p dsrpb.Patience) {
	f.forward(opening(port), &dsrpb.Message{Patience: p, Opening: &dsrpb.Opening{
		AimMs: 300, PatienceMs: 1400, ColdPerSecond: coldRate, WarmUpMs: uint32(warmTime / time.Millisecond),
	}})
}

// serve opens a flow and ends it at once when the target gets it; it reports whether the target did.
func (f *fixture) serve(port int, p dsrpb.Patience) bool {
	before := len(f.out.target)
	f.openCold(port, p)
	if len(f.out.target) == before {
		return false
	}
	f.target(port, segment.SYN|segment.ACK, uint32(port)*1000, "")
	f.target(port, segment.RST, uint32(port)*1000+1, "")
	return true
}

// coldFixture has a target that has just started; the agent has seen its first report.
func coldFixture(t *testing.T) *fixture {
	f := newFixture(t, Config{Without: policy.Without{GiveUpSilent: true}})
	f.apply(announcement.Announcement{ID: "i-2", Service: "route-svc", Slots: 4, WarmUp: warmTime, Sequence: 1})
	return f
}

func TestAColdTargetGetsNoMoreThanItsRateInAnySecond(t *testing.T) {
	f := coldFixture(t)
	var taken []time.Time
	for port := 1; f.now.Before(start.Add(warmTime)); port++ {
		if f.serve(port, dsrpb.Patience_PATIENCE_FREE_SLOT) {
			taken = append(taken, f.now)
		}
		f.pass(7 * time.Millisecond)
	}
	for i := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(taken[i]) <= time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, coldRate)
	}
	require.GreaterOrEqual(t, len(taken), 2*coldRate-1)
	f.pass(10 * time.Millisecond)
	for port := 1000; port < 1030; port++ {
		require.True(t, f.serve(port, dsrpb.Patience_PATIENCE_FREE_SLOT), "a warm one has no limit")
	}
}

func TestAFlowThatWaitsForAColdTargetGetsItsTurnInTime(t *testing.T) {
	f := coldFixture(t)
	for port := 1; port <= coldRate; port++ {
		require.True(t, f.serve(port, dsrpb.Patience_PATIENCE_QUEUE))
	}
	require.False(t, f.serve(100, dsrpb.Patience_PATIENCE_QUEUE))
	before := len(f.out.target)
	f.pass(900 * time.Millisecond)
	require.Len(t, f.out.target, before)
	require.True(t, f.table.Deadline().After(f.now))
	f.pass(101 * time.Millisecond)
	require.Len(t, f.out.target, before+1)
}

func TestAFlowWhoseTurnAtAColdTargetComesTooLateIsTurnedDownAtOnce(t *testing.T) {
	f := coldFixture(t)
	declined := 0
	for port := 1; port <= 60; port++ {
		f.out.messages = nil
		f.serve(port, dsrpb.Patience_PATIENCE_QUEUE)
		if len(f.out.messages) > 0 && f.out.last(t).verdict == dsrpb.Verdict_VERDICT_BUSY {
			declined++
		}
		f.pass(time.Millisecond)
	}
	// Ten have their turn at once, and ten in the next second; the time of one more would come 0.4 s later.
	require.InDelta(t, 60-2*coldRate-4, declined, 1)
}

// An agent that starts beside a living target cannot know what the last agent handed to it.
func TestARestartedAgentHandsAColdTargetNothingForASecond(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 4, WarmUp: warmTime - 300*time.Millisecond, Sequence: 9})
	require.False(t, f.serve(1, dsrpb.Patience_PATIENCE_FREE_SLOT))
	f.pass(unknownHistory - time.Millisecond)
	require.False(t, f.serve(2, dsrpb.Patience_PATIENCE_FREE_SLOT))
	f.pass(time.Millisecond)
	require.True(t, f.serve(3, dsrpb.Patience_PATIENCE_FREE_SLOT))
}

// After a loss of power the first report of a target may find no agent yet: its age says that no earlier agent can have handed it anything.
func TestAnAgentThatStartsTogetherWithItsTargetKnowsWhatItWasHanded(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{40 * time.Millisecond, true}, {minRestartDelay + 40*time.Millisecond, false}} {
		f := &fixture{T: t, out: &recorder{}, now: start}
		f.table = newTestTable(f, Config{})
		f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 4, WarmUp: warmTime - c.age, Sequence: 2})
		require.Equal(t, c.want, f.serve(1, dsrpb.Patience_PATIENCE_FREE_SLOT), c.age)
	}
}

// Until a target says how warm it is, it counts as cold.
func TestATargetThatOnlyAnsweredAHealthCheckCountsAsCold(t *testing.T) {
	f := &fixture{T: t, out: &recorder{}, now: start}
	f.table = newTestTable(f, Config{First: true})
	require.True(t, f.table.Probed(f.now, "i-1", 0))
	served := 0
	for port := 1; port <= 30; port++ {
		if f.serve(port, dsrpb.Patience_PATIENCE_FREE_SLOT) {
			served++
		}
	}
	require.Equal(t, coldRate, served)
	f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 4, Sequence: 1})
	require.True(t, f.serve(100, dsrpb.Patience_PATIENCE_FREE_SLOT), "it says that it is warm")
}

func TestBalancersAreToldWhatAColdTargetTakes(t *testing.T) {
	f := coldFixture(t)
	require.True(t, f.serve(1, dsrpb.Patience_PATIENCE_FREE_SLOT))
	cold := f.table.Announcement(f.now, true, time.Second).Cold
	require.NotNil(t, cold)
	require.Equal(t, uint32(coldRate-1), cold.Room)
	f.pass(warmTime)
	require.Nil(t, f.table.Announcement(f.now, true, time.Second).Cold)
}

func TestAnEvacuatedAgentTakesNoNewFlow(t *testing.T) {
	f := newFixture(t, Config{})
	f.accept(1)
	f.data(1, 1001, true)
	for port := 2; port < 8; port++ {
		f.open(port)
	}
	f.out.messages = nil
	require.True(t, f.table.SetEvacuated(f.now, true))
	for _, m := range f.out.messages {
		require.Equal(t, dsrpb.Verdict_VERDICT_EVACUATED, m.verdict)
	}
	require.NotEmpty(t, f.out.messages, "what waits goes elsewhere at once")
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
	f.open(20)
	require.Equal(t, dsrpb.Verdict_VERDICT_EVACUATED, f.out.last(t).verdict)
	f.target(1, segment.ACK, 1001, "200")
	require.NotEmpty(t, f.out.caller, "open flows stay")
	require.True(t, f.table.SetEvacuated(f.now, false))
	require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now))
}

// Targets may have gone cold while their data centre was empty; they say so only with their next report.
func TestAfterAnEvacuationATargetCountsAsColdUntilItSaysOtherwise(t *testing.T) {
	f := newFixture(t, Config{First: true})
	f.table.SetEvacuated(f.now, true)
	f.pass(2500 * time.Millisecond)
	f.announce(announcement.Ready)
	f.table.SetEvacuated(f.now, false)
	served := 0
	for port := 1; port <= 30; port++ {
		if f.serve(port, dsrpb.Patience_PATIENCE_FREE_SLOT) {
			served++
		}
	}
	require.Equal(t, coldRate, served)
	f.announce(announcement.Ready)
	require.True(t, f.serve(100, dsrpb.Patience_PATIENCE_FREE_SLOT))
}
