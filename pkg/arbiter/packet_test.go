package arbiter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

const flowUnderTest = 77 << 32

// testbed is an arbiter with three peers; it is the first of every row that it gets.
type testbed struct {
	t   *testing.T
	a   *Arbiter
	s   *view.Service
	now time.Time
	row []byte
	// hops is the hop count of the last answer; each answer has passed two more agents.
	hops uint32
}

func newTestbed(t *testing.T, change func(s *view.Service)) *testbed {
	b := &testbed{t: t, s: benchService(4), now: time.Unix(1000000, 0)}
	if change != nil {
		change(b.s)
	}
	for _, target := range b.s.Targets {
		b.row = wire.AppendAddr(b.row, target.Agent)
	}
	b.a = New(Config{Self: b.s.Targets[0].Agent, Incarnation: 1, Connections: 2})
	b.a.SetService(b.now, b.s)
	b.now = b.now.Add(time.Minute)
	return b
}

func (b *testbed) peer(i int) netip.AddrPort { return b.s.Targets[i].Agent }

// input is a packet of the flow under test from a balancer.
func (b *testbed) input(opening bool) Input {
	return Input{Kind: wire.Kind_KIND_FORWARD, Flow: firstFor(b.s, 0), Opening: opening, Row: b.row, Sender: netip.MustParseAddrPort("127.0.0.1:1")}
}

// firstFor returns a flow that target i arbitrates.
func firstFor(s *view.Service, i int) uint64 {
	m := (&Arbiter{peers: newPeers()}).newMembers(time.Time{}, s, nil)
	for flow := uint64(flowUnderTest); ; flow++ {
		if m.table.First(flow) == i {
			return flow
		}
	}
}

func (b *testbed) answer(i int, d Decision, load, reason uint32) Input {
	in := b.input(true)
	b.hops += 2
	in.Kind, in.Sender, in.Load, in.Bound, in.Final, in.Hops = wire.Kind_KIND_DECLINED, b.peer(i), load, reason, d.Final, b.hops
	return in
}

func TestRefusalReasons(t *testing.T) {
	states := func(st ...view.TargetState) func(*view.Service) {
		return func(s *view.Service) {
			for i := range s.Targets {
				s.Targets[i].State = st[i]
			}
		}
	}
	const joining, active, draining = view.StateJoining, view.StateActive, view.StateDraining
	cases := []struct {
		name   string
		change func(*view.Service)
		want   refusal.Reason
	}{
		{"all drain", states(draining, draining, draining, draining), refusal.ReasonDraining},
		{"no weight", func(s *view.Service) {
			for i := range s.Targets {
				s.Targets[i].Weight = 0
			}
		}, refusal.ReasonNoTarget},
		{"others join or drain, self has no weight", func(s *view.Service) {
			states(active, joining, joining, joining)(s)
			s.Targets[0].Weight = 0
		}, refusal.ReasonNoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, c.change)
			d := b.a.Packet(b.now, b.input(true))
			require.Equal(t, ActionRefuse, d.Action)
			require.Equal(t, c.want, d.Reason)
		})
	}
	d := New(Config{Self: netip.MustParseAddrPort("127.0.0.1:9000")}).Packet(time.Unix(1, 0), newTestbed(t, nil).input(true))
	require.Equal(t, refusal.ReasonNoConfiguration, d.Reason)
}

// Guards against refusing a flow because the agent's view is older than that of the balancer, which ranks only active
// targets first.
func TestFirstAgentTakesFlowsThatItsViewDoesNotGiveIt(t *testing.T) {
	const joining, active, draining = view.StateJoining, view.StateActive, view.StateDraining
	cases := []struct {
		name string
		// views are the states of the agent and of its three peers, one view after the other; 0 leaves a target out.
		views [][4]view.TargetState
		load  int64
		want  Action
	}{
		{"joining, others drain", [][4]view.TargetState{{joining, draining, draining, draining}}, 0, ActionDeliver},
		{"joining, others join", [][4]view.TargetState{{joining, joining, joining, joining}}, 0, ActionDeliver},
		{"not named, others drain", [][4]view.TargetState{{0, draining, draining, draining}}, 0, ActionDeliver},
		{"not named, others join", [][4]view.TargetState{{0, joining, joining, joining}}, 0, ActionDeliver},
		{"not named, alone", [][4]view.TargetState{{0, 0, 0, 0}}, 0, ActionDeliver},
		{"not named, another is active", [][4]view.TargetState{{0, active, joining, joining}}, 0, ActionOffer},
		{"not named any more", [][4]view.TargetState{{active, draining, draining, draining}, {0, draining, draining, draining}}, 0, ActionDeliver},
		{"not named and full", [][4]view.TargetState{{0, draining, draining, draining}}, 2, ActionRefuse},
		{"draining", [][4]view.TargetState{{draining, draining, draining, draining}}, 0, ActionRefuse},
		{"left after a drain", [][4]view.TargetState{{draining, draining, draining, draining}, {0, draining, draining, draining}, {0, joining, 0, 0}}, 0, ActionRefuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, nil)
			b.a = New(b.a.cfg)
			b.a.load.Store(c.load)
			for _, states := range c.views {
				s := *b.s
				s.Targets = nil
				for i, state := range states {
					target := b.s.Targets[i]
					if target.State = state; state != 0 {
						s.Targets = append(s.Targets, target)
					}
				}
				b.a.SetService(b.now, &s)
				b.now = b.now.Add(time.Minute)
			}
			in := b.input(true)
			d := b.a.Packet(b.now, in)
			for d.Action == ActionForward {
				d = b.a.Packet(b.now, b.answer(int(d.Position), d, 0, declinedUnknown))
			}
			require.Equal(t, c.want, d.Action)
			require.Equal(t, c.want == ActionDeliver, d.Accepted)
		})
	}
}

func TestAllFull(t *testing.T) {
	b := newTestbed(t, nil)
	b.a.load.Store(2)
	d := b.a.Packet(b.now, b.input(true))
	for offers := 0; d.Action == ActionOffer; offers++ {
		require.Less(t, offers, 12)
		d = b.a.Packet(b.now, b.answer(int(d.Position), d, 50, declinedFull))
	}
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, refusal.ReasonAllFull, d.Reason)
}

func TestDrainingFirstAgentArbitratesButAcceptsNoFlow(t *testing.T) {
	b := newTestbed(t, nil)
	b.a.Drain(b.now)
	require.Equal(t, ActionOffer, b.a.Packet(b.now, b.input(true)).Action)
	require.Zero(t, b.a.Load())
}

func TestOfferIsAcceptedOnlyWithinBound(t *testing.T) {
	b := newTestbed(t, nil)
	b.a.load.Store(1)
	in := b.input(true)
	in.Kind, in.Sender, in.Bound = wire.Kind_KIND_OFFER, b.peer(1), 0
	d := b.a.Packet(b.now, in)
	require.Equal(t, ActionDecline, d.Action)
	require.Equal(t, uint32(1), d.Load)
	in.Bound = 1
	require.Equal(t, ActionDecline, b.a.Packet(b.now, in).Action, "a retransmitted offer is declined again")
	d = b.a.Packet(b.now, b.input(true))
	require.Equal(t, b.peer(1), d.To, "the flow is yielded to the agent that offered it, whatever another balancer's row says")
	in.Final = true
	d = b.a.Packet(b.now, in)
	require.True(t, d.Accepted)
	require.Equal(t, wire.Kind_KIND_PLACED, d.Notify.Kind)
	require.False(t, b.a.Packet(b.now, in).Accepted, "a retransmitted offer starts no second flow")
}

// Guards against taking a duplicate answer to a question for the answer to an offer.
func TestRepeatedAnswerDoesNotDeclineOffer(t *testing.T) {
	b := newTestbed(t, nil)
	b.a.load.Store(1)
	d := b.a.Packet(b.now, b.input(true))
	require.Equal(t, ActionOffer, d.Action)
	repeated := b.answer(int(d.Position), d, 0, declinedUnknown)
	require.Equal(t, ActionDrop, b.a.Packet(b.now, repeated).Action)
}

// Guards against placing a flow twice: a late answer to an offer for an earlier flow with the same key is not an answer
// to the new offer.
func TestLateAnswerToEarlierFlowWithSameKey(t *testing.T) {
	b := newTestbed(t, nil)
	b.a.load.Store(1)
	in := b.input(true)
	for i, load := range []uint32{0, 1, 1} {
		b.a.Control(b.now, b.peer(i+1), Message{Kind: wire.Kind_KIND_LOAD, Load: load, Incarnation: 1})
	}
	d := b.a.Packet(b.now, in)
	require.Equal(t, ActionOffer, d.Action)
	late := b.answer(1, d, 1, declinedLoaded)
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: in.Flow, Incarnation: 1})
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_ENDED, Flow: in.Flow, Incarnation: 1})

	b.hops = 0
	d = b.a.Packet(b.now, in)
	require.Equal(t, ActionForward, d.Action)
	d = b.a.Packet(b.now, b.answer(1, d, 0, declinedUnknown))
	require.Equal(t, ActionOffer, d.Action)
	require.Equal(t, b.peer(1), d.To)
	require.Equal(t, ActionDrop, b.a.Packet(b.now, late).Action)
	require.True(t, b.a.Packet(b.now, b.answer(1, d, 1, declinedLoaded)).Accepted, "all have the same load")
}

// Guards against a deadlock of two agents, one of which asks while the other offers it the flow.
func TestOfferByTheAgentThatIsAsked(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	in.Flow = firstFor(b.s, 2) // this agent's view has another first agent than the balancer's
	d := b.a.Packet(b.now, in)
	require.Equal(t, ActionForward, d.Action)
	require.Equal(t, b.peer(2), d.To)
	in.Kind, in.Sender, in.Hops = wire.Kind_KIND_OFFER, b.peer(1), 2
	require.Equal(t, ActionDrop, b.a.Packet(b.now, in).Action)
	in.Sender = b.peer(2)
	require.True(t, b.a.Packet(b.now, in).Accepted)
}

// Guards against a second owner: an opening packet that follows packets of the established flow is late.
func TestOpeningPacketWhileOwnerIsLocated(t *testing.T) {
	b := newTestbed(t, nil)
	require.Equal(t, ActionForward, b.a.Packet(b.now, b.input(false)).Action)
	require.Equal(t, ActionDrop, b.a.Packet(b.now, b.input(true)).Action)
}

// Guards against refusing a flow at once for a redirect to a dead agent that is older than the flow.
func TestDeadOwnerIsRefusedOnlyAfterQuestions(t *testing.T) {
	b := newTestbed(t, nil)
	flow := b.input(false).Flow
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: flow, Incarnation: 1, Final: true})
	d := b.a.Packet(b.now, b.input(false))
	require.Equal(t, ActionForward, d.Action)
	require.Equal(t, b.peer(1), d.To)

	b.dropPeer1()
	require.NotEqual(t, ActionRefuse, b.a.Packet(b.now, b.input(false)).Action)
	asked := b.denyAllButPeer1()
	require.ElementsMatch(t, []netip.AddrPort{b.peer(1), b.peer(2), b.peer(3)}, asked, "the views may be wrong about the owner")
	b.a.Tick(b.now)
	require.NotEqual(t, ActionRefuse, b.a.Packet(b.now, b.input(false)).Action, "the owner still has time to answer")
	b.now = b.now.Add(goneAnswerTimeout)
	b.a.Tick(b.now)
	d = b.a.Packet(b.now, b.input(false))
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, refusal.ReasonTargetDied, d.Reason)
	require.NotEqual(t, ActionRefuse, b.a.Packet(b.now, b.input(true)).Action, "an opening packet starts anew")
}

// dropPeer1 adopts a view without the first peer.
func (b *testbed) dropPeer1() {
	less := *b.s
	less.Targets = append(append([]view.Target(nil), b.s.Targets[0]), b.s.Targets[2:]...)
	b.a.SetService(b.now, &less)
}

// denyAllButPeer1 answers a Tick's questions for all peers but the first, and returns who was asked.
func (b *testbed) denyAllButPeer1() []netip.AddrPort {
	var asked []netip.AddrPort
	for _, m := range b.a.Tick(b.now) {
		if m.Kind != wire.Kind_KIND_LOCATE {
			continue
		}
		asked = append(asked, m.To)
		if m.To != b.peer(1) {
			b.a.Control(b.now, m.To, Message{Kind: wire.Kind_KIND_LOCATED, Flows: m.Flows, Incarnation: 1})
		}
	}
	return asked
}

// A host that refuses datagrams ends the wait for an owner that left the views.
func TestRefusedDatagramEndsTheWait(t *testing.T) {
	b := newTestbed(t, nil)
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: b.input(false).Flow, Incarnation: 1, Final: true})
	b.dropPeer1()
	b.a.Packet(b.now, b.input(false))
	b.denyAllButPeer1()
	b.a.Unreachable(b.now, b.peer(1))
	b.a.Tick(b.now)
	require.Equal(t, ActionRefuse, b.a.Packet(b.now, b.input(false)).Action)
}

// Guards against refusing the flows of an agent that is alive but left the views.
func TestOwnerThatLeftTheViewsKeepsItsFlows(t *testing.T) {
	for name, known := range map[string]bool{"redirect known": true, "redirect not known": false} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, nil)
			in := b.input(false)
			if known {
				b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: in.Flow, Incarnation: 1, Final: true})
			}
			b.dropPeer1()
			b.a.Packet(b.now, in)
			require.Contains(t, b.denyAllButPeer1(), b.peer(1))
			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOCATED, Flow: in.Flow, Owner: b.peer(1), Incarnation: 1, Final: true})
			b.a.Tick(b.now)
			d := b.a.Packet(b.now, in)
			require.Equal(t, ActionForward, d.Action)
			require.Equal(t, b.peer(1), d.To)
			b.now = b.now.Add(revivedFor)
			require.NotEqual(t, ActionRefuse, b.a.Packet(b.now, in).Action)
			require.Contains(t, b.denyAllButPeer1(), b.peer(1), "the owner is asked again from time to time")
		})
	}
}

// Guards against a late claim for an earlier flow with the same key that ends the new flow.
func TestOnlyAnAnswerEndsAHalfOpenFlow(t *testing.T) {
	for _, kind := range []wire.Kind{wire.Kind_KIND_PLACED, wire.Kind_KIND_MOVED} {
		b := newTestbed(t, nil)
		in := b.input(true)
		require.True(t, b.a.Packet(b.now, in).Accepted)
		claim := Message{Kind: kind, Flow: in.Flow, Owner: b.peer(1), Incarnation: 1, Final: true}
		out := b.a.Control(b.now, b.peer(1), claim)
		require.True(t, b.a.Owns(in.Flow))
		require.Equal(t, []Message{{To: b.peer(1), Kind: wire.Kind_KIND_LOCATE, Flow: in.Flow, Incarnation: 1}}, out)
		b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOCATED, Flow: in.Flow, Incarnation: 1})
		require.True(t, b.a.Owns(in.Flow), "the claimant denies the flow")
		claim.Kind = wire.Kind_KIND_LOCATED
		out = b.a.Control(b.now, b.peer(1), claim)
		require.False(t, b.a.Owns(in.Flow))
		require.Equal(t, b.a.cfg.Self, out[0].To)
	}
}

// Guards against abandoning a flow because a first agent has an old redirect for its key.
func TestHalfOpenFlowIsKeptAgainstRedirect(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	require.True(t, b.a.Packet(b.now, in).Accepted)
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOCATED, Flow: in.Flow, Owner: b.peer(2), Incarnation: 1})
	require.True(t, b.a.Owns(in.Flow))
	out := b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOCATED, Flow: in.Flow, Owner: b.peer(2), Incarnation: 1, Final: true})
	require.False(t, b.a.Owns(in.Flow), "a completed handshake elsewhere wins")
	require.Equal(t, b.a.cfg.Self, out[0].To)
	require.Zero(t, b.a.Load())
}

func TestLatePacketsOfEndedFlow(t *testing.T) {
	b := newTestbed(t, nil)
	require.True(t, b.a.Packet(b.now, b.input(true)).Accepted)
	b.a.Ended(b.now, b.input(true).Flow)
	require.Equal(t, ActionDrop, b.a.Packet(b.now, b.input(false)).Action)
	require.True(t, b.a.Packet(b.now, b.input(true)).Accepted, "the key may be used again")
	require.Equal(t, 1, b.a.Load())
}

func TestSlowStartAndShares(t *testing.T) {
	now := time.Unix(1000000, 0)
	m := &members{service: &view.Service{Spec: resource.ServiceSpec{SlowStart: resource.Duration(10 * time.Second)}}}
	require.InDelta(t, 50, weight(now, m, &view.Target{Weight: 100, ActiveSince: now.Add(-5 * time.Second)}), 0.01)
	require.InDelta(t, 100, weight(now, m, &view.Target{Weight: 100, ActiveSince: now.Add(-time.Hour)}), 0.01)

	m.groups = []group{{"a", 90}, {"b", 10}}
	b := 0
	for i := range uint64(10000) {
		if v, _ := m.versionFor(i * 0x9e3779b97f4a7c15); v == "b" {
			b++
		}
	}
	require.InDelta(t, 1000, b, 150)
}

// FuzzPacket checks that hostile datagrams neither crash the arbiter nor circulate forever.
func FuzzPacket(f *testing.F) {
	f.Add(uint8(1), true, []byte{}, uint32(0), uint32(0), uint32(0), false, uint8(0))
	f.Add(uint8(3), true, make([]byte, 18*40), uint32(9), uint32(70), uint32(1), true, uint8(2))
	f.Fuzz(func(t *testing.T, kind uint8, opening bool, row []byte, position, hops, bound uint32, final bool, sender uint8) {
		b := newTestbed(t, nil)
		in := b.input(opening)
		in.Kind, in.Position, in.Hops, in.Bound, in.Final = wire.Kind(kind), position, hops, bound, final
		in.Sender = b.peer(int(sender) % 4)
		in.Row = append(append([]byte(nil), b.row[:int(sender)%73]...), row...)
		for range 3 {
			d := b.a.Packet(b.now, in)
			require.NotZero(t, d.Action)
			if d.Action == ActionForward {
				require.Less(t, in.Hops, uint32(maxOpeningHops))
				require.True(t, d.To.IsValid())
			}
			b.a.Control(b.now, in.Sender, Message{Kind: wire.Kind(kind), Flow: in.Flow, Flows: []uint64{in.Flow, 0}, Owner: b.peer(int(position % 4)), Incarnation: uint64(hops), Final: final})
			b.a.Tick(b.now)
		}
		require.LessOrEqual(t, b.a.Load(), 2)
		require.GreaterOrEqual(t, b.a.Load(), 0)
	})
}
