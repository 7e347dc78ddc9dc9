package placement

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwood/auburnwood/pkg/view"
)

func genService(t *rapid.T) *view.Service {
	s := &view.Service{Name: "route-svc", Revision: rapid.Uint64Range(1, 3).Draw(t, "revision")}
	for i := range 8 {
		if !rapid.Bool().Draw(t, "listed") {
			continue
		}
		s.Targets = append(s.Targets, view.Target{
			ID:          fmt.Sprint("t", i),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), rapid.Uint16Range(1, 3).Draw(t, "port")),
			Weight:      rapid.Uint32Range(0, 2).Draw(t, "weight"),
			State:       rapid.SampledFrom([]view.TargetState{view.StateJoining, view.StateActive, view.StateDraining}).Draw(t, "state"),
			Slots:       rapid.Uint32Range(0, 2).Draw(t, "slots"),
			Connections: rapid.Uint32Range(0, 1).Draw(t, "connections"),
		})
	}
	return s
}

// NextTable must return the same table as NewTable, whatever changed since the previous one.
func TestNextTableIsTheNewTable(t *testing.T) {
	kept := 0
	rapid.Check(t, func(t *rapid.T) {
		var previous *Table
		s := genService(t)
		for range 4 {
			next := NextTable(previous, s)
			require.Equal(t, NewTable(s), next)
			if previous != nil && len(next.rows)*len(previous.rows) > 0 && &next.rows[0] == &previous.rows[0] {
				kept++
			}
			previous = next
			s = changed(t, s)
		}
		joined := NewJoinedTable(s)
		require.Equal(t, NewTable(s), NextTable(joined, s))
	})
	require.Positive(t, kept, "rows are reused when no row changes")
}

// changed returns another service, often one that differs in a single target.
func changed(t *rapid.T, s *view.Service) *view.Service {
	if rapid.Bool().Draw(t, "other") || len(s.Targets) == 0 {
		return genService(t)
	}
	next := *s
	next.Targets = append([]view.Target(nil), s.Targets...)
	one := &next.Targets[rapid.IntRange(0, len(next.Targets)-1).Draw(t, "which")]
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		one.Incarnation++
	case 1:
		one.Agent = netip.AddrPortFrom(one.Agent.Addr(), one.Agent.Port()+1)
	case 2:
		one.Weight++
	case 3:
		one.State = view.StateDraining
	case 4:
		one.Slots++
	}
	return &next
}
