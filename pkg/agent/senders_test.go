package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// ownershipMessage returns a message about a flow's ownership with the peer's real address as its sender.
func (b *idleAgent) ownershipMessage(kind wire.Kind, flow uint64) *wire.Datagram {
	peer := encodeAddr(b.peerAddr())
	return &wire.Datagram{Kind: kind, Service: serviceName, Revision: 1, Flow: flow, Sender: peer[:], Owner: peer[:], Incarnation: 1, Final: true}
}

var ownershipKinds = []wire.Kind{
	wire.Kind_KIND_PLACED, wire.Kind_KIND_MOVED, wire.Kind_KIND_ENDED,
	wire.Kind_KIND_LOCATE, wire.Kind_KIND_LOCATED, wire.Kind_KIND_LOAD,
}

func TestUnknownSendersCannotChangeOwnership(t *testing.T) {
	for _, kind := range ownershipKinds {
		t.Run(kind.String(), func(t *testing.T) {
			a := &scriptedArbiter{}
			b := newIdleAgent(t, a)
			now := time.Now()
			b.w.handle(encode(t, b.ownershipMessage(kind, 7)), b.peerAddr(), now)
			require.Empty(t, a.controls)
			require.Equal(t, int64(1), b.count("agent.bad_datagrams", "unknown-sender"))
			b.listPeer()
			require.Len(t, a.controls, 1, "the view lists the sender")
			require.Equal(t, kind, a.controls[0].Kind)
			b.SetService(b.view())
			b.w.handle(encode(t, b.ownershipMessage(kind, 8)), b.peerAddr(), now.Add(time.Second))
			require.Len(t, a.controls, 2, "messages of an agent that left recently are accepted")
			b.w.handle(encode(t, b.ownershipMessage(kind, 9)), b.peerAddr(), time.Now().Add(pastSenderTime+time.Second))
			require.Len(t, a.controls, 2, "messages of an agent that left long ago are not")
		})
	}
}

func TestMessagesBeforeTheFirstViewAreHeld(t *testing.T) {
	a := &scriptedArbiter{}
	b := newIdleAgent(t, a)
	b.SetService(nil)
	b.w.handle(encode(t, b.ownershipMessage(wire.Kind_KIND_MOVED, 7)), b.peerAddr(), time.Now())
	require.Empty(t, a.controls)
	b.listPeer()
	require.Len(t, a.controls, 1)
}

func TestPacketsOfUnknownSendersAreRestricted(t *testing.T) {
	syn := opening(t, serviceIP)
	for name, c := range map[string]struct {
		change func(d *wire.Datagram)
		owns   bool
		passes bool
	}{
		"balancer's opening":   {change: func(*wire.Datagram) {}, passes: true},
		"passed opening":       {change: func(d *wire.Datagram) { d.Hops = 1 }},
		"passed packet":        {change: func(d *wire.Datagram) { d.Hops, d.Packet = 1, established(syn) }, passes: true},
		"far passed packet":    {change: func(d *wire.Datagram) { d.Hops, d.Packet = 11, established(syn) }},
		"claim of ownership":   {change: func(d *wire.Datagram) { d.Hops, d.Final, d.Packet = 1, true, established(syn) }},
		"claim on an own flow": {change: func(d *wire.Datagram) { d.Hops, d.Final = 9, true }, owns: true, passes: true},
		"offer":                {change: func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_OFFER }},
		"offer of an own flow": {change: func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_OFFER }, owns: true},
		"answer to an offer":   {change: func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_DECLINED }},
	} {
		t.Run(name, func(t *testing.T) {
			a := &scriptedArbiter{decision: arbiter.Decision{Action: arbiter.ActionDrop}, owns: c.owns}
			b := newIdleAgent(t, a)
			d := b.envelope(syn)
			c.change(d)
			b.w.handle(encode(t, d), b.peerAddr(), time.Now())
			require.Equal(t, c.passes, len(a.inputs) == 1)
			b.listPeer()
			require.Len(t, a.inputs, 1, "held packets are handled once the view lists the sender")
		})
	}
}

func TestHeldDatagramsAreBounded(t *testing.T) {
	var h held
	now := time.Now()
	one := netip.MustParseAddrPort("127.0.0.1:1")
	for i := range maxHeldPerSender + 1 {
		require.Equal(t, i < maxHeldPerSender, h.add([]byte{byte(i)}, one, now))
	}
	require.False(t, h.add(make([]byte, maxHeldSize+1), netip.MustParseAddrPort("127.0.0.1:2"), now))
	for port := uint16(2); len(h.list) < maxHeld; port++ {
		require.True(t, h.add([]byte{1}, netip.AddrPortFrom(one.Addr(), port), now))
	}
	require.False(t, h.add([]byte{1}, netip.MustParseAddrPort("127.0.0.2:1"), now))
	got := h.take(func(a netip.AddrPort) bool { return a == one }, now)
	require.Len(t, got, maxHeldPerSender)
	for i, d := range got {
		require.Equal(t, []byte{byte(i)}, d.bytes)
	}
	require.True(t, h.add([]byte{1}, one, now), "there is room again")
	all := func(netip.AddrPort) bool { return true }
	require.Empty(t, h.take(all, now.Add(maxHeldTime+1)), "expired ones are dropped")
	require.Empty(t, h.list)
	require.Empty(t, h.perSender)
}

func TestSendersOfRecentViews(t *testing.T) {
	now := time.Now()
	x, y := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	of := func(addrs ...netip.AddrPort) *view.Service {
		v := &view.Service{}
		for _, a := range addrs {
			v.Targets = append(v.Targets, view.Target{Agent: a})
		}
		return v
	}
	var s *senders
	require.False(t, s.contains(x, now))
	s = s.next(of(x), now).next(of(y), now)
	require.True(t, s.contains(x, now.Add(pastSenderTime-1)))
	require.False(t, s.contains(x, now.Add(pastSenderTime)))
	s = s.next(of(x, y), now.Add(time.Second))
	require.True(t, s.contains(x, now.Add(time.Hour)), "an agent that is listed again")
	s = s.next(nil, now.Add(time.Hour)).next(of(), now.Add(2*time.Hour))
	require.Empty(t, s.past)
}
