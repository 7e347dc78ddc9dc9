package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// Guards against delaying new flows for an agent that is dead but still in the views.
func TestDeadAgentIsSkipped(t *testing.T) {
	cases := []struct {
		name string
		// prepare makes the first packet go to peer 1, which is dead.
		prepare func(b *testbed, in *Input)
		want    Action
	}{
		{"asked", func(b *testbed, in *Input) { in.Flow = firstFor(b.s, 1) }, ActionForward},
		{"offered", func(b *testbed, in *Input) {
			b.a.load.Store(1)
			for i, load := range []uint32{0, 1, 1} {
				b.a.Control(b.now, b.peer(i+1), Message{Kind: wire.Kind_KIND_LOAD, Load: load, Incarnation: 1})
			}
		}, ActionOffer},
		{"owner of an earlier flow", func(b *testbed, in *Input) {
			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: in.Flow, Incarnation: 1})
		}, ActionForward},
	}
	for _, c := range cases {
		t.Run(c.name+", host refuses", func(t *testing.T) {
			b := newTestbed(t, nil)
			in := b.input(true)
			c.prepare(b, &in)
			d := b.a.Packet(b.now, in)
			require.Equal(t, c.want, d.Action)
			require.Equal(t, b.peer(1), d.To)
			b.a.Unreachable(b.now, b.peer(1))
			b.now = b.now.Add(time.Second)
			require.NotEqual(t, b.peer(1), b.a.Packet(b.now, in).To)
		})
		t.Run(c.name+", known before", func(t *testing.T) {
			b := newTestbed(t, nil)
			in := b.input(true)
			c.prepare(b, &in)
			b.a.Unreachable(b.now, b.peer(1))
			require.NotEqual(t, b.peer(1), b.a.Packet(b.now, in).To)
		})
		t.Run(c.name+", seen again", func(t *testing.T) {
			b := newTestbed(t, nil)
			in := b.input(true)
			b.a.Unreachable(b.now, b.peer(1))
			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOAD, Incarnation: 1})
			c.prepare(b, &in)
			require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
		})
	}
}

// The owner of a dead first agent's flow may be another agent of the row, so the row is asked.
func TestRowIsAskedWhenFirstAgentIsDead(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	in.Flow = firstFor(b.s, 1)
	b.a.Unreachable(b.now, b.peer(1))
	asked := map[string]bool{}
	d := b.a.Packet(b.now, in)
	for d.Action == ActionForward {
		asked[d.To.String()] = true
		answer := b.answer(int(d.Position), d, 0, declinedUnknown)
		answer.Flow = in.Flow
		d = b.a.Packet(b.now, answer)
	}
	require.True(t, d.Accepted)
	require.Equal(t, map[string]bool{b.peer(2).String(): true, b.peer(3).String(): true}, asked)
}

// A caller's TCP retransmits after 1 and 3 s; a question to a silent agent must be over by the second retransmission.
func TestSilentAgentIsSkippedAtSecondRetransmission(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	in.Flow = firstFor(b.s, 1)
	require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
	b.now = b.now.Add(time.Second)
	require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
	b.now = b.now.Add(2 * time.Second)
	require.True(t, b.a.Packet(b.now, in).Accepted)
}

// An agent that sends messages is asked longer, since it may have placed the flow and its answers been lost.
func TestResponsiveAgentIsAskedLonger(t *testing.T) {
	b := newTestbed(t, nil)
	in := b.input(true)
	in.Flow = firstFor(b.s, 1)
	b.a.Packet(b.now, in)
	b.now = b.now.Add(time.Second)
	b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOAD, Incarnation: 1})
	b.now = b.now.Add(1900 * time.Millisecond)
	require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
	b.now = b.now.Add(200 * time.Millisecond)
	require.True(t, b.a.Packet(b.now, in).Accepted)
}
