package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/agentd"
	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/packet"
	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// attacker is a process outside the installation that has observed packets of every running flow.
type attacker struct {
	l     *streamLab
	conn  *net.UDPConn
	addr  netip.AddrPort
	known []capturedPacket
	// sent holds the packets that the attacker itself sent in envelopes.
	mu   sync.Mutex
	sent map[string]bool
	// diverted holds the datagrams that reached the attacker with packets that it had not sent.
	diverted []string
}

func newAttacker(l *streamLab) *attacker {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	a := &attacker{l: l, conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), sent: map[string]bool{}}
	go a.listen()
	return a
}

// listen records each packet received here that the attacker did not send: a flow was diverted.
func (a *attacker) listen() {
	b := make([]byte, 64<<10)
	for {
		n, err := a.conn.Read(b)
		if err != nil {
			return
		}
		var d wire.Datagram
		if d.UnmarshalVT(b[:n]) != nil || len(d.Packet) == 0 {
			continue
		}
		a.mu.Lock()
		if !a.sent[string(d.Packet)] {
			a.diverted = append(a.diverted, d.String())
		}
		a.mu.Unlock()
	}
}

func (a *attacker) send(to netip.AddrPort, b []byte) {
	_, err := a.conn.WriteToUDPAddrPort(b, to)
	require.NoError(a.l.t, err)
}

func (a *attacker) sendEnvelope(to netip.AddrPort, d *wire.Datagram) {
	a.mu.Lock()
	a.sent[string(d.Packet)] = true
	a.mu.Unlock()
	b, err := d.MarshalVT()
	require.NoError(a.l.t, err)
	a.send(to, b)
}

// agents returns the packet addresses of a service's agents.
func (l *streamLab) agents(service string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, x := range l.targetsOf(service) {
		out = append(out, x.daemon.Agent().PacketAddr())
	}
	return out
}

func (l *streamLab) allAgents() []netip.AddrPort {
	return append(l.agents(routeService), l.agents(reportsService)...)
}

func hashOf(raw []byte) uint64 {
	info, _ := packet.Parse(raw)
	return info.Key.Hash()
}

func serviceOf(raw []byte) string {
	info, _ := packet.Parse(raw)
	switch info.Key.Destination.Addr().String() {
	case routeIP, routeIP6:
		return routeService
	}
	return reportsService
}

func row(agents ...netip.AddrPort) []byte {
	var b []byte
	for _, a := range agents {
		b = wire.AppendAddr(b, a)
	}
	return b
}

// forge returns an envelope for a packet with the attacker as its sender.
func (a *attacker) forge(raw []byte) *wire.Datagram {
	self := row(a.addr)
	return &wire.Datagram{
		Kind: wire.Kind_KIND_FORWARD, Service: serviceOf(raw), Revision: 1, Flow: hashOf(raw), Packet: raw,
		Row: row(a.l.agents(serviceOf(raw))...), Sender: self, Balancer: self, Incarnation: 1,
	}
}

// sendMalformed sends non-packets and corrupted packets to balancers and agents.
func (a *attacker) sendMalformed(random *rand.Rand) {
	for _, to := range append(a.l.fabric.Balancers(), a.l.allAgents()...) {
		a.send(to, nil)
		a.send(to, []byte("GET / HTTP/1.1\r\n\r\n"))
		noise := make([]byte, 40+random.IntN(100))
		for i := range noise {
			noise[i] = byte(random.Uint32())
		}
		a.send(to, noise)
		a.send(to, append([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x7f}, noise...))
	}
	for i, p := range a.known {
		to := a.l.fabric.Balancers()[i%len(a.l.fabric.Balancers())]
		for _, b := range broken(p.packet, random) {
			a.send(to, b)
			require.NoError(a.l.t, a.l.fabric.SendTo(to, b))
		}
	}
}

// broken returns variants of a packet that must not reach a target.
func broken(raw []byte, random *rand.Rand) [][]byte {
	variant := func(change func(b []byte)) []byte {
		b := append([]byte(nil), raw...)
		change(b)
		return b
	}
	out := [][]byte{
		raw[:random.IntN(len(raw))],
		variant(func(b []byte) { b[0] = 0x90 }),
		variant(func(b []byte) { corruptChecksum(transport(b)) }),
	}
	if header.IPVersion(raw) == header.IPv6Version {
		return append(out,
			variant(func(b []byte) { b[6] = uint8(header.IPv6FragmentHeader) }),
			variant(func(b []byte) { header.IPv6(b).SetPayloadLength(0xffff) }))
	}
	return append(out,
		variant(func(b []byte) { header.IPv4(b).SetChecksum(header.IPv4(b).Checksum() + 1) }),
		variant(func(b []byte) { header.IPv4(b).SetTotalLength(0xffff) }),
		variant(func(b []byte) {
			ip := header.IPv4(b)
			ip.SetFlagsFragmentOffset(header.IPv4FlagMoreFragments, 8)
			ip.SetChecksum(0)
			ip.SetChecksum(^ip.CalculateChecksum())
		}))
}

func transport(raw []byte) []byte {
	if header.IPVersion(raw) == header.IPv6Version {
		return header.IPv6(raw).Payload()
	}
	return header.IPv4(raw).Payload()
}

// corruptChecksum makes the transport checksum wrong.
func corruptChecksum(b []byte) { b[len(b)-1] ^= 0x55; b[4] ^= 0x55 }

// sendForgedEnvelopes sends forged envelopes of running flows to agents of both services.
func (a *attacker) sendForgedEnvelopes() {
	for i, p := range a.known {
		service := serviceOf(p.packet)
		own := a.l.agents(service)
		for _, change := range []func(d *wire.Datagram){
			func(d *wire.Datagram) { d.Service = "unknown-svc" },
			func(d *wire.Datagram) { d.Flow++ },
			func(d *wire.Datagram) { d.Kind = 77 },
			func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_LEARNED },
			func(d *wire.Datagram) { d.Row = d.Row[:len(d.Row)-1] },
			func(d *wire.Datagram) { d.Row = make([]byte, 200*wire.AddrSize) },
			func(d *wire.Datagram) { d.Packet = d.Packet[:len(d.Packet)/2] },
			func(d *wire.Datagram) { d.Row = row(a.addr, a.addr) },
			func(d *wire.Datagram) { d.Row = row(netip.MustParseAddrPort("127.0.0.1:9"), a.addr) },
			func(d *wire.Datagram) { d.Row = nil },
			func(d *wire.Datagram) { d.Hops, d.Final = 9, true },
			func(d *wire.Datagram) { d.Hops = 1 << 30 },
			func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_OFFER; d.Final, d.Bound = true, 1<<30 },
			func(d *wire.Datagram) { d.Kind = wire.Kind_KIND_DECLINED; d.Final = true },
			func(d *wire.Datagram) { d.Position = 1 << 31 },
		} {
			d := a.forge(p.packet)
			change(d)
			a.sendEnvelope(own[i%len(own)], d)
		}
	}
	// Packets in the envelope of their own service, sent to an agent of the other service.
	route, reports := a.l.agents(routeService), a.l.agents(reportsService)
	for _, p := range a.known {
		to := reports[0]
		if serviceOf(p.packet) == reportsService {
			to = route[0]
		}
		d := a.forge(p.packet)
		a.sendEnvelope(to, d)
	}
}

// sendMisrouted sends the latest packet of each flow to an agent of the other service, as a balancer with a stale view
// does after an agent's address was reassigned.
func (a *attacker) sendMisrouted() {
	latest := map[flow.Key][]byte{}
	for _, p := range a.l.tap.captured() {
		info, _ := packet.Parse(p.packet)
		latest[info.Key] = p.packet
	}
	for _, raw := range latest {
		to := a.l.agents(reportsService)[0]
		if serviceOf(raw) == reportsService {
			to = a.l.agents(routeService)[0]
		}
		a.sendEnvelope(to, a.forge(raw))
	}
}

// sendForgedMessages sends forged messages about all running flows to every agent of their service and every balancer.
func (a *attacker) sendForgedMessages() {
	flows := map[string][]uint64{}
	for _, p := range a.known {
		flows[serviceOf(p.packet)] = append(flows[serviceOf(p.packet)], hashOf(p.packet))
	}
	for service, hashes := range flows {
		agents := a.l.agents(service)
		for _, kind := range []wire.Kind{
			wire.Kind_KIND_PLACED, wire.Kind_KIND_MOVED, wire.Kind_KIND_ENDED, wire.Kind_KIND_LOCATE,
			wire.Kind_KIND_LOCATED, wire.Kind_KIND_LOAD, wire.Kind_KIND_LEARNED,
		} {
			for _, sender := range append(agents, a.addr) {
				for _, owner := range []netip.AddrPort{sender, a.addr, agents[0], {}} {
					d := &wire.Datagram{Kind: kind, Service: service, Revision: 1, Flows: hashes, Sender: row(sender), Final: true, Incarnation: 1 << 62}
					if owner.IsValid() {
						d.Owner = row(owner)
					}
					for _, to := range append(agents, a.l.fabric.Balancers()...) {
						a.sendEnvelope(to, d)
					}
					d.Flow, d.Flows = hashes[0], nil
					for _, to := range append(agents, a.l.fabric.Balancers()...) {
						a.sendEnvelope(to, d)
					}
				}
			}
		}
	}
}

// TestHostileInputCutsNoFlow attacks the real sockets while flows of both services, IP versions and protocols run.
func TestHostileInputCutsNoFlow(t *testing.T) {
	l := newStreamLab(t, nil)
	l.tap.start(func(toCaller bool, raw []byte) bool {
		_, err := packet.Parse(raw)
		return err == nil && !toCaller
	})
	downloads := l.running(6, 5*time.Second)
	var datagrams []*udpFlow
	for i := range 4 {
		for _, ip := range []string{routeIP, routeIP6, reportsIP, reportsIP6} {
			u := l.newUDPFlow(ip, fmt.Sprintf("udp-%d-%s", i, ip))
			u.ping()
			u.ping()
			datagrams = append(datagrams, u)
		}
	}
	a := newAttacker(l)
	a.known = samplePerFlow(l.tap.captured())
	random := rand.New(rand.NewPCG(1, 1))
	for range 3 {
		a.sendMisrouted()
		a.sendMalformed(random)
		a.sendForgedEnvelopes()
		a.sendForgedMessages()
		for _, u := range datagrams {
			u.ping()
		}
	}
	for _, c := range []struct{ name, reason string }{
		{"agent.bad_datagrams", "truncated"}, {"agent.bad_datagrams", "foreign"}, {"agent.bad_datagrams", "unknown-sender"},
		{"agent.bad_datagrams", "unknown-kind"}, {"agent.bad_datagrams", "wrong-service"}, {"agent.bad_datagrams", "packet"},
		{"agent.bad_datagrams", "flow-hash"}, {"balancer.malformed_packets", ""}, {"balancer.foreign_datagrams", ""},
	} {
		require.Positive(t, l.counter(c.name, c.reason), "%s %s", c.name, c.reason)
	}
	l.requireComplete(downloads)
	for _, u := range datagrams {
		u.ping()
	}
	require.Empty(t, a.diverted, "packets of running flows reached the attacker")
	require.Zero(t, l.counter("agent.flows_owned_elsewhere", ""))
	require.NotEmpty(t, l.refusals(), "an opening packet in the envelope of another service")
	// Running flows were checked above, so owner-lost records can only concern flows that had ended.
	for _, r := range l.refusals() {
		require.Contains(t, []refusal.Reason{refusal.ReasonWrongService, refusal.ReasonOwnerLost}, r.Reason, "%+v", r)
		require.True(t, r.Caller.IsValid())
	}
}

// samplePerFlow returns for each flow its first opening packet and its first later one.
func samplePerFlow(seen []capturedPacket) []capturedPacket {
	type kind struct {
		key     flow.Key
		opening bool
	}
	taken := map[kind]bool{}
	var out []capturedPacket
	for _, p := range seen {
		info, _ := packet.Parse(p.packet)
		k := kind{info.Key, info.Opening}
		if !taken[k] {
			taken[k] = true
			out = append(out, p)
		}
	}
	return out
}

// TestUnknownAddressRefusedWithRecord dials addresses and a port that belong to no service.
func TestUnknownAddressRefusedWithRecord(t *testing.T) {
	l := newStreamLab(t, nil)
	for _, to := range []string{"198.51.100.77:80", "[2001:db8:f::77]:80", "198.51.100.1:81"} {
		caller := l.caller(netip.MustParseAddrPort(to).Addr().String())
		_, err := caller.DialContext(deadline(t), "tcp", to)
		require.ErrorContains(t, err, "refused")
		l.eventually("record of "+to, func() bool {
			for _, r := range l.records(refusal.ReasonUnknownAddress) {
				if r.Caller.Addr() == caller.Addr() && r.Destination.String() == to && r.Run == refusal.RunNo {
					return true
				}
			}
			return false
		})
	}
	d := l.start(routeService, routeIP, "after", 10_000, 10*time.Millisecond)
	l.requireComplete([]*download{d})
}

func TestBadAnnouncementsAreRefused(t *testing.T) {
	l := newStreamLab(t, nil)
	x := l.targetsOf(routeService)[0]
	url := "http://" + x.daemon.AnnounceAddr() + agentd.PathTarget
	for _, body := range []string{
		"", "{", "[]", "null", `{"service":7}`, `{"service":"route-svc","slots":2,"connections":5,"extra":1}`,
		`{"service":"Route Svc","slots":2,"connections":5}`, `{"service":"route-svc","slots":-1,"connections":5}`,
		`{"service":"reports-svc","slots":2,"connections":500}`, strings.Repeat("[", 1<<20),
	} {
		r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
		require.NoError(t, err)
		r.Close = true
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			// The agent closed the connection while the oversized body was being sent.
			require.Greater(t, len(body), 1000)
			continue
		}
		_ = resp.Body.Close()
		require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest, body)
		require.Less(t, resp.StatusCode, http.StatusInternalServerError, body)
	}
	l.requireComplete(l.running(1, 50*time.Millisecond))
}
