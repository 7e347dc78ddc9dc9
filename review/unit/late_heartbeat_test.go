//go:build review

// Package unit_test plays the late heartbeats of the cases review/1 and review/2 against the agent's decisions alone. It is left
// out of the default test run; run it with -tags=review.
package unit_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/platform"
)

const (
	service           = "route-svc"
	heartbeatInterval = 770 * time.Millisecond
)

// output keeps the last verdict that was sent to a balancer.
type output struct{ verdict dsrpb.Verdict }

func (o *output) ToTarget([]byte)                               {}
func (o *output) ToCaller(flow.Key, []byte)                     {}
func (o *output) Reset(flow.Key, uint32)                        {}
func (o *output) ToBalancer(_ netip.AddrPort, m *dsrpb.Message) { o.verdict = m.Verdict }
func (o *output) Decided(ownership.Decision)                    {}
func (o *output) HealthChanged(ownership.HealthChange)          {}
func newAgent(o *output, start time.Time, first bool) *ownership.Table {
	return ownership.NewTable(ownership.Config{Service: service, HeartbeatInterval: heartbeatInterval, Incarnation: 1, First: first}, platform.Codec{}, o, start)
}

func announce(t *testing.T, table *ownership.Table, at time.Time, id string, sequence uint64, state announcement.State) {
	t.Helper()
	_, err := table.Announce(at, announcement.Announcement{ID: id, Service: service, Slots: 3, Sequence: sequence, State: state})
	require.NoError(t, err)
}

// An agent that has restarted beside a running target cannot exclude older flows of that target, whatever heartbeat of an
// ended process arrives late.
func TestRestartedAgentDoesNotExcludeOlderFlowsAfterALateHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	o := new(output)
	table := newAgent(o, start, false)
	now := start
	for sequence := uint64(3); sequence < 9; sequence++ {
		now = now.Add(heartbeatInterval)
		announce(t, table, now, "i-b", sequence, announcement.Ready)
	}
	now = now.Add(10 * time.Millisecond)
	// The agent may accept or reject the late heartbeat.
	_, _ = table.Announce(now, announcement.Announcement{ID: "i-a", Service: service, Slots: 3, Sequence: 1})

	m := &dsrpb.Message{Kind: dsrpb.Kind_KIND_LOCATE}
	m.SetKey(flow.Key{
		Source: netip.MustParseAddrPort("127.0.64.7:40001"), Destination: netip.MustParseAddrPort("127.0.198.1:443"), Protocol: flow.ProtocolTCP,
	})
	table.Locate(now, netip.MustParseAddrPort("127.0.1.10:7720"), m)
	require.NotEqual(t, dsrpb.Verdict_VERDICT_NOT_HELD, o.verdict, "the agent has not seen the flows that the running target got before its start")
}

// A target that drains gets no new flows again because a heartbeat of an ended process arrives late.
func TestTargetStaysDrainingAfterALateHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	table := newAgent(new(output), start, true)
	now := start.Add(heartbeatInterval)
	announce(t, table, now, "i-b", 1, announcement.Ready)
	for sequence := uint64(2); sequence < 6; sequence++ {
		now = now.Add(heartbeatInterval)
		announce(t, table, now, "i-b", sequence, announcement.Draining)
	}
	now = now.Add(10 * time.Millisecond)
	// The agent may accept or reject the late heartbeat.
	_, _ = table.Announce(now, announcement.Announcement{ID: "i-a", Service: service, Slots: 3, Sequence: 1})
	require.Equal(t, dsrpb.State_STATE_LEAVING, table.State(now))
}
