package arbiter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Guards against refusals with target-draining when only one of many targets, outside the row, is active.
func TestOfferOutsideRowFindsOnlyActiveTarget(t *testing.T) {
	const targets = 40
	s := benchService(targets)
	for i := range s.Targets {
		s.Targets[i].State = view.StateDraining
	}
	s.Targets[targets-1].State = view.StateActive
	now := time.Unix(1000000, 0)
	a := New(Config{Self: s.Targets[0].Agent, Incarnation: 1, Connections: 2000})
	a.SetService(now, s)
	now = now.Add(time.Minute)
	table := a.members.Load().table
	found := 0
	for flow := uint64(0); found < targets; flow += 1<<32 + 1 {
		if table.First(flow) != 0 {
			continue
		}
		found++
		row := table.AppendRow(nil, flow)
		in := Input{Kind: wire.Kind_KIND_FORWARD, Flow: flow, Opening: true, Row: row, Sender: netip.MustParseAddrPort("127.0.0.1:1")}
		d := a.Packet(now, in)
		require.Equal(t, ActionOffer, d.Action, "flow %d: %s", flow, d.Why)
		require.Equal(t, s.Targets[targets-1].Agent, d.To)
	}
}
