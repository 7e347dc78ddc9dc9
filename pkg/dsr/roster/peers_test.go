package roster

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start = time.Unix(1000, 0)
	one   = netip.MustParseAddrPort("10.1.0.1:7000")
	two   = netip.MustParseAddrPort("10.1.0.2:7000")
)

func TestDueFollowsPeerState(t *testing.T) {
	var p Peers
	require.True(t, p.Add(start, one))
	require.False(t, p.Add(start, one))
	require.True(t, p.MarkSeen(start, two))
	require.Equal(t, []netip.AddrPort{one, two}, p.Due(start))
	require.Empty(t, p.Due(start.Add(EagerInterval/2)))
	require.Equal(t, []netip.AddrPort{one}, p.Due(start.Add(EagerInterval)), "peer one is new and has not answered")
	require.Equal(t, []netip.AddrPort{one, two}, p.Due(start.Add(MinInterval)))

	later := start.Add(EagerTime + time.Second)
	p.MarkSeen(later, two)
	require.Equal(t, []netip.AddrPort{one, two}, p.Due(later))
	require.Equal(t, []netip.AddrPort{two}, p.Due(later.Add(MinInterval)), "peer one has been silent for longer than EagerTime")
	require.Equal(t, []netip.AddrPort{one, two}, p.Due(later.Add(SilentInterval)))
	p.MakeAllDue()
	require.Equal(t, []netip.AddrPort{one, two}, p.Due(later.Add(SilentInterval)))
}

func TestSilentPeerIsNotAliveUntilSeenAgain(t *testing.T) {
	var p Peers
	p.MarkSeen(start, one)
	require.True(t, p.Alive(start.Add(SilenceTimeout), one))
	require.False(t, p.Alive(start.Add(SilenceTimeout+1), one))
	require.False(t, p.MarkSeen(start.Add(SilenceTimeout/2), one))
	require.True(t, p.MarkSeen(start.Add(3*SilenceTimeout), one))
}

func TestNewlySilentReportsAPeerOnce(t *testing.T) {
	var p Peers
	p.MarkSeen(start, one)
	p.Add(start, two)
	require.Empty(t, p.NewlySilent(start.Add(SilenceTimeout)))
	require.Equal(t, []netip.AddrPort{one}, p.NewlySilent(start.Add(SilenceTimeout+1)), "peer two was never seen")
	require.Empty(t, p.NewlySilent(start.Add(SilenceTimeout+2)))
	p.MarkSeen(start.Add(2*SilenceTimeout), one)
	require.Equal(t, []netip.AddrPort{one}, p.NewlySilent(start.Add(4*SilenceTimeout)))
}

func TestSilentPeerExpires(t *testing.T) {
	var p Peers
	p.MarkSeen(start, one)
	p.Add(start.Add(time.Minute), two)
	require.Equal(t, []netip.AddrPort{two}, p.Due(start.Add(ExpireAfter+time.Second)))
	require.Equal(t, []netip.AddrPort{two}, p.All())
}

func peerAddresses(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, n)
	for i := range out {
		out[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000)
	}
	return out
}

// runLively simulates a period in which every peer is seen all the time, and returns the messages sent per second.
func runLively(p *Peers, addresses []netip.AddrPort, length time.Duration) float64 {
	sent := 0
	for at := time.Duration(0); at < length; at += EagerInterval {
		now := start.Add(at)
		for _, a := range addresses {
			p.MarkSeen(now, a)
		}
		sent += len(p.Due(now))
	}
	return float64(sent) / length.Seconds()
}

// The send rate must not grow with the number of peers: four messages a second to each of 490 peers would be 196 kB/s.
func TestSendRateIsIndependentOfPeerCount(t *testing.T) {
	for _, n := range []int{59, 490, 3300} {
		var p Peers
		addresses := peerAddresses(n)
		for _, a := range addresses {
			p.MarkSeen(start, a)
		}
		p.Due(start)
		require.LessOrEqual(t, runLively(&p, addresses, 3*time.Minute), SendRate*1.25, "%d peers", n)
	}
}

func TestRequestedIntervalIsHonored(t *testing.T) {
	var p Peers
	p.MarkSeen(start, one)
	p.Due(start)
	p.SetRequestedInterval(one, 10*time.Second)
	require.InDelta(t, 0.1/(1-intervalJitter/2), runLively(&p, []netip.AddrPort{one}, 10*time.Minute), 0.01)
	require.Equal(t, 10*time.Second, p.IntervalTo(one))
	p.SetRequestedInterval(one, time.Hour)
	require.Equal(t, MaxInterval, p.IntervalTo(one), "the requested interval is bounded")
}

func TestSilenceTimeoutGrowsWithSendInterval(t *testing.T) {
	var p Peers
	p.MarkSeen(start, one)
	p.SetSendInterval(one, 2*time.Second)
	require.True(t, p.Alive(start.Add(8*time.Second), one))
	require.False(t, p.Alive(start.Add(8*time.Second+1), one))
	require.False(t, p.MarkSeen(start.Add(8*time.Second), one))
	require.Equal(t, []netip.AddrPort{one}, p.NewlySilent(start.Add(17*time.Second)))
}

// Processes that send to everybody at once after a power failure must not stay in step and leave gaps between their
// messages.
func TestSimultaneousStartsDesynchronize(t *testing.T) {
	const processes = 500
	interval := IntervalFor(processes)
	seen := make([]bool, int(interval/EagerInterval)+1)
	for seed := range processes {
		p := Peers{Seed: uint64(seed)}
		p.MarkSeen(start, one)
		p.SetRequestedInterval(one, interval)
		require.Len(t, p.Due(start), 1)
		for i := range seen {
			now := start.Add(time.Duration(i) * EagerInterval)
			p.MarkSeen(now, one)
			if i > 0 && len(p.Due(now)) > 0 {
				seen[i] = true
			}
		}
	}
	silent := 0
	for _, h := range seen[1:] {
		if h {
			silent = 0
			continue
		}
		silent++
		require.Less(t, time.Duration(silent)*EagerInterval, 500*time.Millisecond, "a balancer without messages for so long counts as isolated")
	}
}

func TestSampleIsDrawnFromLivingPeers(t *testing.T) {
	var p Peers
	addresses := peerAddresses(30)
	for i, a := range addresses {
		p.Add(start, a)
		if i < 20 {
			p.MarkSeen(start, a)
		}
	}
	seen := make(map[netip.AddrPort]int)
	for range 50 {
		sample := p.Sample(start, 6)
		require.Len(t, sample, 6)
		for _, a := range sample {
			require.Contains(t, addresses[:20], a)
			seen[a]++
		}
	}
	require.Len(t, seen, 20)
	require.Len(t, p.Sample(start, 40), 20)
}

// Reports from another data centre are rarer, unless the interval is short anyway.
func TestRemoteSendersUseLongerIntervals(t *testing.T) {
	for _, c := range []struct {
		senders   int
		near, far time.Duration
	}{
		{11, MinInterval, MinInterval},
		{45, time.Second, time.Second},
		{90, 2 * time.Second, 8 * time.Second},
		{3300, 73333333333, 4 * 73333333333},
		{20_000, MaxInterval, MaxInterval},
	} {
		require.Equal(t, c.near, IntervalFor(c.senders))
		require.Equal(t, c.far, RemoteIntervalFor(c.senders))
	}
}

// At a first start everybody asks the same few balancers. One that answers late because of that must not be asked by all in
// each EagerInterval.
func TestMessagesToAPeerThatWasNeverSeenBecomeRarer(t *testing.T) {
	var p Peers
	p.Add(start, one)
	var times []time.Duration
	for at := time.Duration(0); at < EagerTime; at += EagerInterval {
		if len(p.Due(start.Add(at))) > 0 {
			times = append(times, at)
		}
	}
	require.Equal(t, []time.Duration{
		0, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
		500 * time.Millisecond, 900 * time.Millisecond,
	}, times[:8])
	require.LessOrEqual(t, len(times), 17)
}

// At a start of all, intervals grow with every peer that is met. A process that has named a short interval, and then keeps a
// longer one, would be taken for lost.
func TestPeersAreNotLostWhileIntervalsGrow(t *testing.T) {
	for _, n := range []int{300, 700, 3800} {
		const watched = 20
		var sender Peers
		addresses := peerAddresses(n)
		receivers := make(map[netip.AddrPort]*Peers)
		for _, a := range addresses[:watched] {
			receivers[a] = &Peers{}
		}
		lost := 0
		for at := time.Duration(0); at < 10*time.Second; at += EagerInterval {
			now := start.Add(at)
			// The others are met within two seconds, and are alive from then on.
			met := addresses[:min(n, 1+int(float64(n)*at.Seconds()/2))]
			for _, a := range met {
				sender.MarkSeen(now, a)
			}
			for _, a := range sender.Due(now) {
				if r := receivers[a]; r != nil {
					r.MarkSeen(now, one)
					r.SetSendInterval(one, sender.IntervalTo(a))
				}
			}
			for _, r := range receivers {
				lost += len(r.NewlySilent(now))
			}
		}
		require.Zero(t, lost, "%d peers", n)
	}
}

// Every process tests each 50 ms what is due; at 490 balancers and 3,300 agents a balancer knows 3,790 processes.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{304, 982, 3790} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var p Peers
			for _, a := range peerAddresses(n) {
				p.MarkSeen(start, a)
				p.SetSendInterval(a, time.Minute)
			}
			p.Due(start)
			b.ReportAllocs()
			for i := range b.N {
				now := start.Add(time.Duration(i%10) * time.Millisecond)
				p.Due(now)
				p.NewlySilent(now)
				p.AnyAlive(now)
			}
		})
	}
}
