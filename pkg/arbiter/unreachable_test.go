package arbiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/wire"
)

// New flows once waited for up to 7 s for an agent that was dead but still in the views.
func TestDeadAgentIsPassedBy(t *testing.T) {
	cases := []struct {
		name string
		// prepare makes the first packet go to peer 1, which is dead.
		prepare func(b *bed, in *Input)
		want    Action
	}{
		{"asked", func(b *bed, in *Input) { in.Flow = firstFor(b.s, 1) }, ActionForward},
		{"offered", func(b *bed, in *Input) {
			b.a.load.Store(1)
			for i, load := range []uint32{0, 1, 1} {
				b.a.Control(b.now, b.peer(i+1), Message{Kind: wire.Kind_KIND_LOAD, Load: load, Incarnation: 1})
			}
		}, ActionOffer},
		{"owner of an earlier life", func(b *bed, in *Input) {
			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_PLACED, Flow: in.Flow, Incarnation: 1})
		}, ActionForward},
	}
	for _, c := range cases {
		t.Run(c.name+", host refuses", func(t *testing.T) {
			b := newBed(t, nil)
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
			b := newBed(t, nil)
			in := b.input(true)
			c.prepare(b, &in)
			b.a.Unreachable(b.now, b.peer(1))
			require.NotEqual(t, b.peer(1), b.a.Packet(b.now, in).To)
		})
		t.Run(c.name+", heard again", func(t *testing.T) {
			b := newBed(t, nil)
			in := b.input(true)
			b.a.Unreachable(b.now, b.peer(1))
			b.a.Control(b.now, b.peer(1), Message{Kind: wire.Kind_KIND_LOAD, Incarnation: 1})
			c.prepare(b, &in)
			require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
		})
	}
}

// A flow of a dead first agent may be owned by another agent of the row, which is asked.
func TestRowIsAskedForADeadFirst(t *testing.T) {
	b := newBed(t, nil)
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

// The repeats of a caller's TCP come after 1 and 3 s; a question to an agent that is silent must be over by the second.
func TestSilentAgentIsPassedByAtTheSecondRepeat(t *testing.T) {
	b := newBed(t, nil)
	in := b.input(true)
	in.Flow = firstFor(b.s, 1)
	require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
	b.now = b.now.Add(time.Second)
	require.Equal(t, b.peer(1), b.a.Packet(b.now, in).To)
	b.now = b.now.Add(2 * time.Second)
	require.True(t, b.a.Packet(b.now, in).Accepted)
}

// An agent that lives is asked longer, since it may have placed the flow and its answers been lost.
func TestLivingAgentIsAskedLonger(t *testing.T) {
	b := newBed(t, nil)
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
