package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// locate is a balancer's query for the owner of a flow.
func locate(key flow.Key) *dsrpb.Message {
	return &dsrpb.Message{
		Kind:        dsrpb.Kind_KIND_LOCATE,
		Source:      wire.AppendAddr(nil, key.Source),
		Destination: wire.AppendAddr(nil, key.Destination),
	}
}

// Balancers pass over agents that they have probably asked before, by the time since the agents lost their records.
func TestAnnouncementReportsTheAgeOfAnAgentThatMayNotKnowAllFlows(t *testing.T) {
	f := newFixture(t, Config{})
	running := func(after time.Duration) uint32 {
		return f.table.Announcement(f.now.Add(after), true, 0).Announcement.RunningMs
	}
	require.EqualValues(t, 1, running(0))
	require.EqualValues(t, 2500, running(2500*time.Millisecond))
	require.Zero(t, running(MaxFlowAge+1))
	f.table.cfg.First = true
	require.Zero(t, running(time.Second))
}

// A balancer takes a target that leaves off its list once it holds no flow.
func TestAnnouncementReportsTheFlowsOfATargetThatLeaves(t *testing.T) {
	f := newFixture(t, Config{})
	f.accept(1)
	flows := func() uint32 { return f.table.Announcement(f.now, true, 0).Announcement.Flows }
	f.table.Leave(f.now)
	require.EqualValues(t, 1, flows())
	f.target(1, segment.RST, 2, "")
	require.Zero(t, flows())
}
