package placement

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

func service(n int) *view.Service {
	s := &view.Service{Name: "s"}
	for i := range n {
		s.Targets = append(s.Targets, view.Target{
			ID: fmt.Sprintf("t%03d", i), Incarnation: 1, State: view.StateActive, Connections: 100,
			Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i)),
		})
	}
	return s
}

func TestRowIsOrderedAndDistinct(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 4, 5, 40} {
		s := service(n)
		table := NewTable(s)
		require.Equal(t, min(n, RowSize), table.Size())
		for flow := range uint64(slots) {
			row := table.Row(flow)
			require.Equal(t, table.First(flow), row.First())
			seen := make(map[uint16]bool)
			b := table.AppendRow(nil, flow)
			require.Equal(t, row.Len, wire.RowLen(b))
			for i := range row.Len {
				addr, _ := wire.RowAddr(b, i)
				require.Equal(t, s.Targets[row.Index[i]].Agent, addr)
				seen[row.Index[i]] = true
			}
			require.Len(t, seen, row.Len)
		}
	}
}

// A change of one target moves no row that does not contain the target.
func TestRemovalMovesOnlyItsRows(t *testing.T) {
	s := service(11)
	before := NewTable(s)
	less := &view.Service{Targets: append(append([]view.Target(nil), s.Targets[:3]...), s.Targets[4:]...)}
	after := NewTable(less)
	moved := 0
	for flow := range uint64(slots) {
		if before.FirstAgent(flow) == s.Targets[3].Agent {
			moved++
			require.Equal(t, s.Targets[before.Row(flow).Index[1]].Agent, after.FirstAgent(flow), "the second agent of the row becomes the first")
			continue
		}
		require.False(t, after.MovedFrom(before, flow))
	}
	require.InDelta(t, slots/11, moved, slots/30)
}

func TestStatesAndWeights(t *testing.T) {
	s := service(6)
	table := NewTable(s)
	s2 := service(6)
	s2.Targets[1].State = view.StateDraining
	s2.Targets[2].Weight = 7
	s2.Targets[3].Incarnation = 9
	require.Equal(t, table.rows, NewTable(s2).rows, "drain, weight and restart move no row")

	s2.Targets[4].State = view.StateJoining
	joined := NewJoinedTable(s2)
	require.Equal(t, table.rows, joined.rows)
	without := NewTable(s2)
	for flow := range uint64(slots) {
		require.NotEqual(t, 4, without.First(flow))
	}
}

func TestCapacityWeighsRows(t *testing.T) {
	s := service(5)
	s.Targets[0].Connections = 400
	s.Targets[1].Connections, s.Targets[1].Slots = 0, 100
	table := NewTable(s)
	first := make([]int, 5)
	for flow := range uint64(slots) {
		first[table.First(flow)]++
	}
	require.InDelta(t, slots/2, first[0], slots/25)
	for _, n := range first[1:] {
		require.InDelta(t, slots/8, n, slots/40)
	}
}

func TestArbitersFor(t *testing.T) {
	table := NewTable(service(5))
	require.Equal(t, []int{0, 1, 3, 4}, table.ArbitersFor(2))
	require.Empty(t, NewTable(service(1)).ArbitersFor(0))
	require.Empty(t, NewTable(service(0)).ArbitersFor(0))
}

func BenchmarkAppendRow(b *testing.B) {
	table := NewTable(service(500))
	buf := make([]byte, 0, RowSize*wire.AddrSize)
	random := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		buf = table.AppendRow(buf[:0], random.Uint64())
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := service(n)
			for b.Loop() {
				NewTable(s)
			}
		})
	}
}

// BenchmarkMemory measures the tables of 680 services with 5 targets and one with 500.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tables := []*Table{NewTable(service(500))}
	for range 680 {
		tables = append(tables, NewTable(service(5)))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(tables)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
}
