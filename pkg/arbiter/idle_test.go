package arbiter

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// advance moves the clock by d with a Tick each 100 ms, and returns the messages about the flow.
func (b *testbed) advance(d time.Duration, flow uint64) []Message {
	var about []Message
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		for _, m := range b.a.Tick(b.now) {
			if m.Flow == flow || slices.Contains(m.Flows, flow) {
				about = append(about, m)
			}
		}
	}
	return about
}

// Guards against an idle UDP flow that gets a second owner because its redirect expired.
func TestIdleFlowKeepsItsOwner(t *testing.T) {
	cases := []struct {
		name     string
		idle     time.Duration
		redirect func(b *testbed, in Input)
	}{
		{"flow is yielded to another arbiter", 2 * DefaultLinger, func(b *testbed, in Input) {
			in.Sender, in.Hops = b.peer(1), 1
			in.Row = append(slices.Clone(b.row[wire.AddrSize:]), b.row[:wire.AddrSize]...)
			require.Equal(t, ActionDecline, b.a.Packet(b.now, in).Action)
		}},
		{"flow is claimed by its owner", 2 * DefaultIdle, func(b *testbed, in Input) {
			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: in.Flow, Incarnation: 1})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, nil)
			in := b.input(true)
			c.redirect(b, in)
			asked := b.advance(c.idle, in.Flow)
			require.NotEmpty(t, asked)
			for _, m := range asked {
				require.Equal(t, wire.Kind_KIND_LOCATE, m.Kind)
				require.Equal(t, b.peer(1), m.To)
			}
			d := b.a.Packet(b.now, in)
			require.Equal(t, ActionForward, d.Action)
			require.Equal(t, b.peer(1), d.To)

			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOCATED, Flow: in.Flow, Incarnation: 1})
			require.True(t, b.a.Packet(b.now, in).Accepted, "an owner that denies the flow ends the redirect")
		})
	}
}

// Questions must not keep a redirect to an agent that left the views.
func TestRedirectToGoneAgentExpires(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: in.Flow, Incarnation: 1})
	less := *b.s
	less.Targets = append(append([]view.Target(nil), b.s.Targets[0]), b.s.Targets[2:]...)
	b.a.SetService(b.now, &less)
	require.Empty(t, b.advance(2*DefaultIdle, in.Flow))
	require.Zero(t, b.a.Snapshot().Redirects)
}

// Guards against placing a flow without notifying the first agent of the placing agent's own view.
func TestPlacedFlowIsReportedToLocalFirstAgent(t *testing.T) {
	b := newTestbed(t, nil)
	b.advance(time.Second, 0)
	in := b.input(true)
	in.Flow = firstFor(b.s, 2)
	d := b.a.Packet(b.now, in)
	require.Equal(t, b.peer(2), d.To)
	answer := b.answer(2, d, 0, declinedUnknown)
	answer.Flow = in.Flow
	require.True(t, b.a.Packet(b.now, answer).Accepted)
	sent := b.advance(100*time.Millisecond, in.Flow)
	require.Len(t, sent, 1)
	require.Equal(t, wire.Kind_KIND_PLACED, sent[0].Kind)
	require.Equal(t, b.peer(2), sent[0].To)
}

// Guards against ignoring the owner that a leaving agent names for a flow that was yielded to it.
func TestHintFromFormerArbiterIsUsed(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	question := in
	question.Sender, question.Hops = b.peer(1), 1
	question.Row = append(slices.Clone(b.row[wire.AddrSize:]), b.row[:wire.AddrSize]...)
	require.Equal(t, ActionDecline, b.a.Packet(b.now, question).Action)
	named := Message{Kind: wire.Kind_KIND_MOVED, Flow: in.Flow, Owner: b.peer(2), Incarnation: 1}
	b.a.Control(b.now, b.peer(3), named)
	require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To, "a hint from an agent to which the flow was not yielded is ignored")
	b.a.Control(b.now, b.peer(1), named)
	require.Equal(t, b.peer(2), b.a.Packet(b.now, in).To)
}

// Guards against view changes that postpone the scheduled KIND_MOVED messages.
func TestViewChangesDoNotDelayMovedMessages(t *testing.T) {
	b := newTestbed(t, nil)
	b.advance(time.Second, 0)
	in := b.input(true)
	in.Flow = firstFor(b.s, 2)
	d := b.a.Packet(b.now, in)
	answer := b.answer(2, d, 0, declinedUnknown)
	answer.Flow = in.Flow
	require.True(t, b.a.Packet(b.now, answer).Accepted)
	b.advance(200*time.Millisecond, in.Flow)
	moved := 0
	for i := range 8 {
		s := *b.s
		s.Targets = slices.Clone(b.s.Targets)
		if i%2 == 0 {
			s.Targets[3].State = view.StateJoining
		}
		b.a.SetService(b.now, &s)
		for _, m := range b.advance(time.Second, in.Flow) {
			if m.Kind == wire.Kind_KIND_MOVED && m.To == b.peer(2) {
				moved++
			}
		}
	}
	require.GreaterOrEqual(t, moved, 4)
}

// Guards against notifying a joining agent of its future flows only once, in a message that may be lost.
func TestJoiningAgentIsNotifiedAgain(t *testing.T) {
	b := newTestbed(t, func(s *view.Service) { s.Targets[3].State = view.StateJoining })
	b.advance(20*time.Second, 0)
	in := b.input(true)
	in.Flow = firstFor(b.s, 0)
	for b.a.members.Load().next.First(in.Flow) != 3 || b.a.members.Load().table.First(in.Flow) != 0 {
		in.Flow++
	}
	require.True(t, b.a.Packet(b.now, in).Accepted)
	s := *b.s
	s.Targets = append(slices.Clone(b.s.Targets), view.Target{ID: "joins too", Incarnation: 1, Agent: netip.MustParseAddrPort("127.0.0.1:7"), State: view.StateJoining, Weight: 1, Connections: 1})
	b.a.SetService(b.now, &s)
	sent := 0
	for _, m := range b.advance(2*time.Second, in.Flow) {
		if m.Kind == wire.Kind_KIND_MOVED && m.To == b.peer(3) {
			sent++
		}
	}
	require.NotZero(t, sent)
}

// Guards against a second owner when the first agent of an earlier row is gone and the owner it chose is in no row of
// the present view.
func TestEarlierRowIsAskedWhenItsFirstAgentIsGone(t *testing.T) {
	b := newTestbed(t, nil)
	old := b.a.members.Load().table
	in := b.input(true)
	in.Flow = firstFor(b.s, 1)
	row := old.Row(in.Flow)
	b.dropPeer1()
	in.Row = b.row[:wire.AddrSize]
	asked := map[netip.AddrPort]bool{}
	d := b.a.Packet(b.now, in)
	for d.Action == ActionForward {
		asked[d.To] = true
		answer := b.answer(0, d, 0, declinedUnknown)
		answer.Sender, answer.Flow, answer.Row = d.To, in.Flow, in.Row
		d = b.a.Packet(b.now, answer)
	}
	for _, i := range row.Index[1:row.Len] {
		if agent := b.s.Targets[i].Agent; agent != b.a.cfg.Self {
			require.True(t, asked[agent], "%v", agent)
		}
	}
}
