package recording

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720), Capacity: 10}
		if i%5 == 0 {
			out[i].Capacity = 40
		}
	}
	return out
}

func TestWritersDoNotGrowWithEveryBalancer(t *testing.T) {
	for _, c := range []struct{ balancers, writers int }{{1, 1}, {4, 1}, {32, 1}, {59, 2}, {304, 10}, {490, 16}, {3800, 119}} {
		living := candidates(c.balancers)
		require.Len(t, writersOf(living), c.writers, "%d balancers", c.balancers)
		if c.balancers > 490 {
			continue
		}
		load := make(map[netip.AddrPort]int)
		for _, b := range living {
			load[Writer(b.Address, living)]++
		}
		require.Len(t, load, c.writers, "%d balancers", c.balancers)
		most := 0
		for a, n := range load {
			most = max(most, n)
			require.Equal(t, a, Writer(a, living), "a writer writes its own")
		}
		require.LessOrEqual(t, most, 2*GroupSize, "%d balancers", c.balancers)
	}
}

func TestLargeVMsWrite(t *testing.T) {
	living := candidates(300)
	large := make(map[netip.AddrPort]bool)
	for _, b := range living {
		large[b.Address] = b.Capacity == 40
	}
	for _, b := range living {
		require.True(t, large[Writer(b.Address, living)])
	}
}

// All records that were handed over lately move when the writer changes.
func TestLossOfABalancerMovesOnlyItsOwnGroup(t *testing.T) {
	living := candidates(304)
	gone := Writer(living[1].Address, living)
	var rest []Candidate
	for _, b := range living {
		if b.Address != gone {
			rest = append(rest, b)
		}
	}
	moved := 0
	for _, b := range rest {
		before, after := Writer(b.Address, living), Writer(b.Address, rest)
		require.NotEqual(t, gone, after)
		if before != gone && before != after {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 2*GroupSize, "those that the new writer takes")
}

func TestBalancerThatKnowsNoOtherWritesItself(t *testing.T) {
	one := candidates(1)
	require.Equal(t, one[0].Address, Writer(one[0].Address, one))
	require.Equal(t, one[0].Address, Writer(one[0].Address, nil))
}
