package overload

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const aim = 200 * time.Millisecond

// twoPriorities is the load of a target with 100 requests a second of capacity and of each of two priorities.
func twoPriorities(waiting float64) Load {
	return Load{Capacity: 100, Waiting: waiting, Demands: []Demand{{Priority: 0, PerSecond: 100}, {Priority: 1, PerSecond: 100}}}
}

func TestWaitBeyondThePromisedTimeRefusesTheLowestPriorityOnly(t *testing.T) {
	s := NewService()
	s.Picture.Add(twoPriorities(10))
	require.False(t, s.Update(start, aim), "what waits is worked off in 100 ms")
	s.Picture.Remove(twoPriorities(10))
	s.Picture.Add(twoPriorities(30))
	require.True(t, s.Update(start.Add(time.Second), aim))
	require.True(t, s.Saturated())
	require.InDelta(t, 1, s.Share(0), 0)
	require.Equal(t, []Demand{{Priority: 0, PerSecond: 100}, {Priority: 1, PerSecond: 100}}, s.Status("x").Demands)
}

func TestOverloadEndsWhenNothingIsKnownOfTheTargets(t *testing.T) {
	s := NewService()
	s.Picture.Add(twoPriorities(30))
	require.True(t, s.Update(start, aim))
	s.Picture = Picture{}
	require.True(t, s.Update(start.Add(time.Second), aim))
	require.False(t, s.Saturated())
	require.InDelta(t, 1, s.Share(1), 0)
}

func TestPictureOfFewerThanHalfOfTheTargetsDoesNotCount(t *testing.T) {
	var p Picture
	p.Add(twoPriorities(30))
	p.Add(Load{})
	_, known := p.wait()
	require.True(t, known)
	p.Add(Load{})
	_, known = p.wait()
	require.False(t, known)
}

func TestOpenFlowsOfLowerPriorityLeaveNoLessRoomToHigherOnes(t *testing.T) {
	shares := sharesOf(100, [maxPriorities]split{{open: 10, offered: 60}, {open: 10, offered: 40}, {open: 200, offered: 40}})
	require.InDelta(t, 1, shares[0], 1e-9)
	require.InDelta(t, 0.5, shares[1], 1e-9, "10 on open flows come before 40 new ones")
	require.InDelta(t, 0, shares[2], 1e-9)
}

func TestAFurtherTryIsToldFromTheFirstTriesOfOtherCallers(t *testing.T) {
	c := NewCallers(start)
	one, other := netip.MustParseAddr("100.64.0.1"), netip.MustParseAddr("100.64.0.2")
	require.False(t, c.Offered(start, one))
	c.Failed(start, one)
	require.False(t, c.Offered(start, other))
	require.True(t, c.Offered(start.Add(10*time.Millisecond), one))
	require.False(t, c.Offered(start.Add(20*time.Millisecond), one), "its only failed flow was followed by a try")
	c.Failed(start.Add(time.Second), one)
	require.False(t, c.Offered(start.Add(time.Second+2*RetryWindow), one))
}

func TestCallersAreBounded(t *testing.T) {
	c := NewCallers(start)
	for i := range 3 * maxCallers {
		c.Offered(start, netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}))
	}
	require.LessOrEqual(t, len(c.recent)+len(c.older), maxCallers)
}

func TestACallerThatAsksForTenTimesTheUsualIsModerated(t *testing.T) {
	c := NewCallers(start)
	now := start
	flooder := netip.MustParseAddr("100.64.9.9")
	for i := range 4000 {
		now = now.Add(2 * time.Millisecond)
		if i%11 == 0 {
			c.Offered(now, flooder)
			continue
		}
		c.Offered(now, netip.AddrFrom4([4]byte{100, 64, 0, byte(i % 100)}))
	}
	require.InDelta(t, 1, c.Moderation(now, netip.AddrFrom4([4]byte{100, 64, 0, 1})), 0)
	require.Less(t, c.Moderation(now, flooder), 0.6)
}
