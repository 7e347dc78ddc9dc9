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

// serve opens a flow and resets it at once when the target gets it; it reports whether the target did.
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

// coldFixture has a target that has just started; the agent has received its first report.
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
		require.True(t, f.serve(port, dsrpb.Patience_PATIENCE_FREE_SLOT), "a warm target has no limit")
	}
}

func TestAQueuedFlowIsOfferedWhenAColdTargetHasRoom(t *testing.T) {
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

func TestAFlowThatAColdTargetCannotServeInTimeIsDeclinedAtOnce(t *testing.T) {
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
	// Ten are offered at once, and ten in the next second; one more could be offered 0.4 s later.
	require.InDelta(t, 60-2*coldRate-4, declined, 1)
}

// An agent that starts beside a running target cannot know how many flows an earlier agent gave it.
func TestARestartedAgentOffersAColdTargetNothingForASecond(t *testing.T) {
	f := newFixture(t, Config{})
	f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 4, WarmUp: warmTime - 300*time.Millisecond, Sequence: 9})
	require.False(t, f.serve(1, dsrpb.Patience_PATIENCE_FREE_SLOT))
	f.pass(unknownHistory - time.Millisecond)
	require.False(t, f.serve(2, dsrpb.Patience_PATIENCE_FREE_SLOT))
	f.pass(time.Millisecond)
	require.True(t, f.serve(3, dsrpb.Patience_PATIENCE_FREE_SLOT))
}

// After a power failure a target may send its first report before the agent runs: its age shows that no earlier agent
// can have given it any flow.
func TestAnAgentStartedWithItsTargetKnowsItsRecentFlows(t *testing.T) {
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

func TestATargetThatOnlyAnsweredAHealthCheckCountsAsCold(t *testing.T) {
	f := &fixture{T: t, out: &recorder{}, now: start}
	f.table = newTestTable(f, Config{First: true})
	require.True(t, f.probe("i-1"))
	served := 0
	for port := 1; port <= 30; port++ {
		if f.serve(port, dsrpb.Patience_PATIENCE_FREE_SLOT) {
			served++
		}
	}
	require.Equal(t, coldRate, served)
	f.apply(announcement.Announcement{ID: "i-1", Service: "route-svc", Slots: 4, Sequence: 1})
	require.True(t, f.serve(100, dsrpb.Patience_PATIENCE_FREE_SLOT), "it reports that it is warm")
}

func TestAnnouncementsReportTheColdLimit(t *testing.T) {
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
	require.NotEmpty(t, f.out.messages, "queued flows are returned at once")
	require.Equal(t, dsrpb.State_STATE_LEAVING, f.table.State(f.now))
	f.open(20)
	require.Equal(t, dsrpb.Verdict_VERDICT_EVACUATED, f.out.last(t).verdict)
	f.target(1, segment.ACK, 1001, "200")
	require.NotEmpty(t, f.out.caller, "open flows stay")
	require.True(t, f.table.SetEvacuated(f.now, false))
	require.Equal(t, dsrpb.State_STATE_READY, f.table.State(f.now))
}

// Targets may have become cold while their data centre was empty; they report that only with their next announcement.
func TestAfterAnEvacuationATargetCountsAsColdUntilItReportsOtherwise(t *testing.T) {
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
