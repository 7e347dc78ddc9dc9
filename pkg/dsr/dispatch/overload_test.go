package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/dsrtest"
	"github.com/auburnwood/auburnwood/pkg/dsr/routing"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// overloaded is a balancer of a service with two priorities whose only target has had a flow of each every 20 ms for two
// seconds, and then has requests waiting for a second.
func overloaded(t *testing.T, without func(*Config)) (*Balancer, *recorder) {
	t.Helper()
	out := new(recorder)
	cfg := Config{DataCentre: "dc-1"}
	without(&cfg)
	b := NewBalancer(cfg, dsrtest.Codec{}, out, start.Add(-2*time.Second))
	share := []configuration.Share{{Service: "svc", Weight: 1}}
	b.SetRoutes(start, routing.NewTable(configuration.Configuration{Version: 1, Routes: []configuration.Route{
		{Name: "urgent", Destination: service, Shares: share, Aim: 200 * time.Millisecond},
		{Name: "reports", Destination: reports, Shares: share, Aim: 200 * time.Millisecond, Priority: 2},
	}}))
	for i := range 100 {
		now := start.Add(time.Duration(i-100) * 20 * time.Millisecond)
		if i%10 == 0 {
			announceAsked(b, now, 2, 50)
		}
		openFrom(b, now, i, service)
		openFrom(b, now, i, reports)
	}
	announceAsked(b, start, 102, 100)
	return b, out
}

// announceAsked announces a target that can finish 100 requests a second, with its busy requests and what it is asked for
// of each of two priorities.
func announceAsked(b *Balancer, now time.Time, busy uint32, perSecond float32) {
	b.FromAgent(now, netip.MustParseAddrPort("10.2.0.1:7200"), &dsrpb.Message{
		Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "svc", Busy: busy, WorkUs: 20_000,
		Announcement: &dsrpb.Announcement{
			DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: 1, IntervalMs: 250, CapacityPerSecond: 100,
			Demands: []*dsrpb.Demand{{Priority: 0, PerSecond: perSecond}, {Priority: 2, PerSecond: perSecond}},
		},
	})
}

// openFrom sends an opening packet from one of many callers.
func openFrom(b *Balancer, now time.Time, caller int, to netip.AddrPort) {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), uint16(now.Sub(start.Add(-time.Minute))/time.Millisecond))
	raw := dsrtest.Encode(dsrtest.Packet{Source: source, Destination: to, Flags: segment.SYN, Sequence: 7})
	s, _ := dsrtest.Codec{}.Decode(raw)
	b.FromCaller(now, s)
}

// refusedOverload opens flows to an address and returns how many of them were refused because of the overload.
func refusedOverload(b *Balancer, out *recorder, now time.Time, to netip.AddrPort) int {
	before := len(out.refusals)
	for caller := range 60 {
		openFrom(b, now.Add(time.Duration(caller)*time.Millisecond), caller, to)
	}
	n := 0
	for _, r := range out.refusals[before:] {
		if r.Reason == refusal.ReasonOverloaded {
			n++
		}
	}
	return n
}

func TestOverloadResetsLowPriorityFlowsAtOnceAndTellsThatTheyDidNotRun(t *testing.T) {
	b, out := overloaded(t, func(*Config) {})
	refusedOverload(b, out, start, reports)
	now := start.Add(200 * time.Millisecond)
	announceAsked(b, now, 102, 100)
	require.Len(t, out.saturations, 1)
	require.Zero(t, refusedOverload(b, out, now, service), "the highest priority is left to the agents")
	require.Positive(t, refusedOverload(b, out, now, reports))
	last := out.refusals[len(out.refusals)-1]
	require.Equal(t, refusal.RunNo, last.Run)
	require.True(t, last.Notified)
	require.Zero(t, last.Tried)
	require.Contains(t, b.Overload("svc").Refused, 2)
	require.Len(t, b.Overloads(), 1)
	require.False(t, b.Overload("svc").SaturatedSince.IsZero())
}

func TestWithoutShedExcessNoFlowIsRefusedForOverload(t *testing.T) {
	b, out := overloaded(t, func(c *Config) { c.Without.ShedExcess = true })
	refusedOverload(b, out, start, reports)
	require.Zero(t, refusedOverload(b, out, start.Add(300*time.Millisecond), reports))
}

func TestABalancerThatHearsOfNoAgentRefusesNothingForOverload(t *testing.T) {
	b, out := overloaded(t, func(*Config) {})
	refusedOverload(b, out, start, reports)
	require.Zero(t, refusedOverload(b, out, start.Add(IsolatedAfter+100*time.Millisecond), reports))
}

func TestAgentsOfEarlierReleasesCauseNoOverload(t *testing.T) {
	b, out := overloaded(t, func(*Config) {})
	now := start
	for range 2 {
		now = now.Add(100 * time.Millisecond)
		b.FromAgent(now, netip.MustParseAddrPort("10.2.0.1:7200"), &dsrpb.Message{
			Kind: dsrpb.Kind_KIND_ANNOUNCE, Service: "svc", Busy: 102, WorkUs: 20_000,
			Announcement: &dsrpb.Announcement{DataCentre: "dc-1", State: dsrpb.State_STATE_READY, Slots: 2, Incarnation: 1, IntervalMs: 250},
		})
	}
	require.Zero(t, refusedOverload(b, out, now, reports))
	require.True(t, b.Overload("svc").SaturatedSince.IsZero())
}
