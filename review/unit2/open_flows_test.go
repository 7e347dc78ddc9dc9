//go:build review2

// Package unit2_test plays the faults of the cases review/4 and review/5 against the decisions of a balancer and of an agent
// alone. It is left out of the default test run; run it with -tags=review2.
package unit2_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/directory"
	"github.com/auburnwood/auburnwood/pkg/dsr/dispatch"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/evacuation"
	"github.com/auburnwood/auburnwood/pkg/dsr/overload"
	"github.com/auburnwood/auburnwood/pkg/dsr/ownership"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/platform"
	"github.com/auburnwood/auburnwood/platform/platformtest"
)

const heartbeatInterval = 770 * time.Millisecond

var (
	start       = time.Unix(1000, 0)
	caller      = netip.MustParseAddrPort("127.0.64.7:40001")
	destination = netip.MustParseAddrPort("127.0.198.1:443")
	balancer    = netip.MustParseAddrPort("127.0.1.10:7720")
	key         = flow.Key{Source: caller, Destination: destination, Protocol: flow.ProtocolTCP}
)

// decode returns a packet as a daemon receives it.
func decode(t *testing.T, p platformtest.Packet) segment.Segment {
	t.Helper()
	s, err := platform.Codec{}.Decode(platformtest.Encode(p))
	require.NoError(t, err)
	return s
}

// fromCaller is a packet of the flow's caller, which has sent its opening packet with the number 7.
func fromCaller(t *testing.T, flags segment.Flags, ack uint32, data string) segment.Segment {
	p := platformtest.Packet{Source: caller, Destination: destination, Flags: flags, Sequence: 8, Acknowledgement: ack, Data: []byte(data)}
	if flags == segment.SYN {
		p.Sequence = 7
	}
	return decode(t, p)
}

// agentOutput keeps the last verdict that was sent to a balancer.
type agentOutput struct{ verdict dsrpb.Verdict }

func (o *agentOutput) ToTarget([]byte)                               {}
func (o *agentOutput) ToCaller(flow.Key, []byte)                     {}
func (o *agentOutput) Reset(flow.Key, uint32)                        {}
func (o *agentOutput) ToBalancer(_ netip.AddrPort, m *dsrpb.Message) { o.verdict = m.Verdict }
func (o *agentOutput) Decided(ownership.Decision)                    {}
func (o *agentOutput) HealthChanged(ownership.HealthChange)          {}

// A target whose deregistration was not acknowledged goes on for some time, and says so. Until it ends, it holds its open flows.
func TestFlowsOfATargetThatReportsAfterItsDeregistrationAreNotExcluded(t *testing.T) {
	o := new(agentOutput)
	table := ownership.NewTable(ownership.Config{
		Service: "route-svc", HeartbeatInterval: heartbeatInterval, Incarnation: 1, First: true,
	}, platform.Codec{}, o, start)
	report := announcement.Announcement{ID: "i-a", Service: "route-svc", Slots: 3, Sequence: 1, State: announcement.Ready}
	now := start.Add(heartbeatInterval)
	_, err := table.Announce(now, report)
	require.NoError(t, err)

	forward := &dsrpb.Message{Kind: dsrpb.Kind_KIND_FORWARD, Service: "route-svc", Configuration: 1}
	table.Forward(now, balancer, forward, fromCaller(t, segment.SYN, 0, ""))
	table.FromTarget(now.Add(time.Millisecond), decode(t, platformtest.Packet{
		Source: destination, Destination: caller, Flags: segment.SYN | segment.ACK, Sequence: 100, Acknowledgement: 8,
	}))
	forward.Owner = true
	table.Forward(now.Add(2*time.Millisecond), balancer, forward, fromCaller(t, segment.ACK, 101, "request"))
	table.FromTarget(now.Add(20*time.Millisecond), decode(t, platformtest.Packet{
		Source: destination, Destination: caller, Flags: segment.ACK, Sequence: 101, Acknowledgement: 15, Data: []byte("answer"),
	}))

	report.State = announcement.Draining
	for range 5 {
		now, report.Sequence = now.Add(heartbeatInterval), report.Sequence+1
		_, err = table.Announce(now, report)
		require.NoError(t, err)
	}
	// The target gets no answer to this call.
	require.NoError(t, table.TargetLeft(now.Add(time.Millisecond), announcement.Deregistration{ID: "i-a"}))
	for range 5 {
		now, report.Sequence = now.Add(heartbeatInterval), report.Sequence+1
		// The agent may acknowledge or reject the report.
		_, _ = table.Announce(now, report)
	}

	locate := &dsrpb.Message{Kind: dsrpb.Kind_KIND_LOCATE}
	locate.SetKey(key)
	table.Locate(now, balancer, locate)
	require.NotEqual(t, dsrpb.Verdict_VERDICT_NOT_HELD, o.verdict, "the target still reports, and holds the flow")
}

// balancerOutput keeps the agents that were sent a message, and the resets.
type balancerOutput struct {
	asked  []netip.AddrPort
	resets int
}

func (o *balancerOutput) ToAgent(agent netip.AddrPort, _ *dsrpb.Message) {
	o.asked = append(o.asked, agent)
}
func (o *balancerOutput) Reset(flow.Key, uint32)            { o.resets++ }
func (o *balancerOutput) Refused(dispatch.Refusal)          {}
func (o *balancerOutput) Decided(dispatch.Decision)         {}
func (o *balancerOutput) Outdated(uint64)                   {}
func (o *balancerOutput) SaturationChanged(overload.Status) {}

// A balancer that starts after a route has been given to another service, with a list of agents of shortly before the change,
// cannot take flows of the former service for gone: it has not asked the agents beside the targets that may hold them.
func TestFlowsOfAFormerServiceAreNotResetAfterARestart(t *testing.T) {
	former, current := netip.MustParseAddrPort("127.0.2.10:8172"), netip.MustParseAddrPort("127.0.2.11:8172")
	o := new(balancerOutput)
	b := dispatch.NewBalancer(dispatch.Config{DataCentre: "dc-1"}, platform.Codec{}, o, start)
	b.SetEvacuations(start, evacuation.NewSet(1, nil))
	b.SetRoutes(start, routing.NewTable(configuration.Configuration{
		Version:  8,
		Routes:   []configuration.Route{{Name: "r", Destination: destination, Shares: []configuration.Share{{Service: "reports-svc", Weight: 1}}}},
		Services: []configuration.Service{{Name: "route-svc"}, {Name: "reports-svc"}},
	}))
	b.LoadDirectory(start, directory.Snapshot{
		Agents: map[string][]netip.AddrPort{"route-svc": {former}, "reports-svc": {current}}, Complete: true,
	})
	now := start
	announce := func(agent netip.AddrPort, service string) {
		b.FromAgent(now, agent, &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: service, Configuration: 8,
			Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 3, Incarnation: 1, AnswersQueries: true},
		})
	}
	// The flow is open at the target of the former service; the agent of the current one knows all flows of its target.
	for step := range 400 {
		now = now.Add(10 * time.Millisecond)
		b.MarkRunning(now)
		if step%20 == 0 {
			announce(former, "route-svc")
			announce(current, "reports-svc")
		}
		if step >= 100 && step%20 == 0 {
			b.FromCaller(now, fromCaller(t, segment.ACK, 101, "request"))
		}
		b.Tick(now)
		for _, agent := range o.asked {
			// Every question of this test is about the one flow, and the questions are numbered from 1.
			verdict := dsrpb.Verdict_VERDICT_NOT_HELD
			if agent == former {
				verdict = dsrpb.Verdict_VERDICT_HELD
			}
			for question := uint32(1); question <= 30; question++ {
				m := &dsrpb.Message{Kind: dsrpb.Kind_KIND_LOCATED, Configuration: 8, Verdict: verdict, Reference: question}
				m.SetKey(key)
				b.FromAgent(now, agent, m)
			}
		}
		o.asked = nil
	}
	require.Zero(t, o.resets, "the target of the former service holds the flow")
}
