package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
)

func TestASummaryCountsReadyTargetsAndThoseAtTheirConnectionLimit(t *testing.T) {
	f := newLimitedFixture(t)
	for i, flows := range []uint32{3, 2, 4} {
		f.announceFlows(i+1, flows)
	}
	require.Equal(t, TargetSummary{Ready: 3, AtConnectionLimit: 2}, f.b.TargetSummaries(f.now)["route-svc"])
	f.announceFlows(2, 3)
	require.True(t, f.b.TargetSummaries(f.now)["route-svc"].Saturated())
	f.b.SetEvacuations(f.now, evacuation.NewSet(1, []string{"dc-1"}))
	require.False(t, f.b.TargetSummaries(f.now)["route-svc"].Saturated(), "a service without ready targets is not at its limit")
}

func TestASummaryHasTheSpreadOfReportedWorkTimes(t *testing.T) {
	f := newFixture(t)
	for i, work := range []time.Duration{0, 30 * time.Millisecond, 8 * time.Millisecond} {
		f.b.FromAgent(f.now, agentAt(i+1), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "route-svc", WorkUs: uint32(work / time.Microsecond),
			Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: uint64(i + 1)},
		})
	}
	s := f.b.TargetSummaries(f.now)["route-svc"]
	require.Equal(t, TargetSummary{Ready: 3, FastestWork: 8 * time.Millisecond, SlowestWork: 30 * time.Millisecond}, s)
}
