package packet

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/flow"
)

const (
	callerPort  = 40000
	servicePort = 443
)

// ipv4 returns an IPv4 packet with the given payload.
func ipv4(protocol uint8, transport []byte) []byte {
	b := make([]byte, header.IPv4MinimumSize+len(transport))
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         64,
		Protocol:    protocol,
		SrcAddr:     tcpip.AddrFrom4([4]byte{10, 1, 2, 3}),
		DstAddr:     tcpip.AddrFrom4([4]byte{198, 51, 100, 7}),
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	copy(b[header.IPv4MinimumSize:], transport)
	return b
}

func ipv6(next uint8, transport []byte) []byte {
	b := make([]byte, header.IPv6MinimumSize+len(transport))
	header.IPv6(b).Encode(&header.IPv6Fields{
		PayloadLength:     uint16(len(transport)),
		TransportProtocol: tcpip.TransportProtocolNumber(next),
		HopLimit:          64,
		SrcAddr:           tcpip.AddrFrom16(netip.MustParseAddr("2001:db8::3").As16()),
		DstAddr:           tcpip.AddrFrom16(netip.MustParseAddr("2001:db8:1::7").As16()),
	})
	copy(b[header.IPv6MinimumSize:], transport)
	return b
}

func tcp(flags header.TCPFlags) []byte {
	b := make([]byte, header.TCPMinimumSize)
	header.TCP(b).Encode(&header.TCPFields{SrcPort: callerPort, DstPort: servicePort, DataOffset: header.TCPMinimumSize, Flags: flags})
	return b
}

func udp(payload int) []byte {
	b := make([]byte, header.UDPMinimumSize+payload)
	header.UDP(b).Encode(&header.UDPFields{SrcPort: callerPort, DstPort: servicePort, Length: uint16(len(b))})
	return b
}

func key4(protocol uint8) flow.Key {
	return flow.Key{
		Source:      netip.MustParseAddrPort("10.1.2.3:40000"),
		Destination: netip.MustParseAddrPort("198.51.100.7:443"),
		Protocol:    protocol,
	}
}

func key6(protocol uint8) flow.Key {
	return flow.Key{
		Source:      netip.MustParseAddrPort("[2001:db8::3]:40000"),
		Destination: netip.MustParseAddrPort("[2001:db8:1::7]:443"),
		Protocol:    protocol,
	}
}

func TestParseAccepts(t *testing.T) {
	padded := append(ipv4(flow.ProtocolTCP, tcp(header.TCPFlagAck)), 0, 0, 0)
	tests := map[string]struct {
		packet []byte
		want   Info
	}{
		"syn":           {ipv4(flow.ProtocolTCP, tcp(header.TCPFlagSyn)), Info{Key: key4(flow.ProtocolTCP), Opening: true, Length: 40}},
		"syn ack":       {ipv4(flow.ProtocolTCP, tcp(header.TCPFlagSyn|header.TCPFlagAck)), Info{Key: key4(flow.ProtocolTCP), Length: 40}},
		"fin":           {ipv4(flow.ProtocolTCP, tcp(header.TCPFlagFin|header.TCPFlagAck)), Info{Key: key4(flow.ProtocolTCP), Finish: true, Length: 40}},
		"rst":           {ipv4(flow.ProtocolTCP, tcp(header.TCPFlagRst)), Info{Key: key4(flow.ProtocolTCP), Reset: true, Length: 40}},
		"padding":       {padded, Info{Key: key4(flow.ProtocolTCP), Length: 40}},
		"udp":           {ipv4(flow.ProtocolUDP, udp(9)), Info{Key: key4(flow.ProtocolUDP), Opening: true, Length: 37}},
		"ipv6 syn":      {ipv6(flow.ProtocolTCP, tcp(header.TCPFlagSyn)), Info{Key: key6(flow.ProtocolTCP), Opening: true, Length: 60}},
		"ipv6 udp":      {ipv6(flow.ProtocolUDP, udp(0)), Info{Key: key6(flow.ProtocolUDP), Opening: true, Length: 48}},
		"ipv6 last ack": {ipv6(flow.ProtocolTCP, tcp(header.TCPFlagAck)), Info{Key: key6(flow.ProtocolTCP), Length: 60}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(tt.packet)
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestParseRejects(t *testing.T) {
	good := func() []byte { return ipv4(flow.ProtocolTCP, tcp(header.TCPFlagAck)) }
	edit := func(b []byte, f func(header.IPv4)) []byte {
		f(header.IPv4(b))
		header.IPv4(b).SetChecksum(0)
		header.IPv4(b).SetChecksum(^header.IPv4(b).CalculateChecksum())
		return b
	}
	set := func(b []byte, at int, v byte) []byte {
		b[at] = v
		return b
	}
	mapped := ipv6(flow.ProtocolTCP, tcp(header.TCPFlagSyn))
	header.IPv6(mapped).SetSourceAddress(tcpip.AddrFrom16(netip.MustParseAddr("::ffff:10.1.2.3").As16()))
	noPort := tcp(header.TCPFlagSyn)
	binary.BigEndian.PutUint16(noPort, 0)
	tests := map[string]struct {
		packet []byte
		want   Error
	}{
		"empty":            {nil, ErrVersion},
		"version 5":        {[]byte{0x55, 0, 0, 0}, ErrVersion},
		"short header":     {good()[:12], ErrTruncated},
		"short payload":    {good()[:39], ErrTruncated},
		"bad checksum":     {set(good(), 8, 7), ErrChecksum},
		"header length":    {set(good(), 0, 0x44), ErrHeader},
		"long header":      {set(good(), 0, 0x4f), ErrHeader},
		"more fragments":   {edit(good(), func(h header.IPv4) { h.SetFlagsFragmentOffset(header.IPv4FlagMoreFragments, 0) }), ErrFragment},
		"later fragment":   {edit(good(), func(h header.IPv4) { h.SetFlagsFragmentOffset(0, 8) }), ErrFragment},
		"icmp":             {ipv4(1, tcp(0)), ErrProtocol},
		"short tcp":        {ipv4(flow.ProtocolTCP, tcp(0)[:19]), ErrTruncated},
		"tcp offset":       {ipv4(flow.ProtocolTCP, set(tcp(0), 12, 0xf0)), ErrHeader},
		"syn fin":          {ipv4(flow.ProtocolTCP, tcp(header.TCPFlagSyn|header.TCPFlagFin)), ErrFlags},
		"syn rst":          {ipv4(flow.ProtocolTCP, tcp(header.TCPFlagSyn|header.TCPFlagRst)), ErrFlags},
		"port 0":           {ipv4(flow.ProtocolTCP, noPort), ErrPort},
		"short udp":        {ipv4(flow.ProtocolUDP, udp(0)[:7]), ErrTruncated},
		"udp length":       {ipv4(flow.ProtocolUDP, set(udp(0), 5, 9)), ErrHeader},
		"multicast source": {edit(good(), func(h header.IPv4) { h.SetSourceAddress(tcpip.AddrFrom4([4]byte{224, 0, 0, 1})) }), ErrAddress},
		"mapped source":    {mapped, ErrAddress},
		"ipv6 short":       {ipv6(flow.ProtocolTCP, tcp(0))[:30], ErrTruncated},
		"ipv6 payload":     {ipv6(flow.ProtocolTCP, tcp(0))[:50], ErrTruncated},
		"ipv6 fragment":    {ipv6(uint8(header.IPv6FragmentHeader), make([]byte, 28)), ErrFragment},
		"ipv6 hop options": {ipv6(0, make([]byte, 28)), ErrProtocol},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(tt.packet)
			require.Equal(t, tt.want, err)
			require.NotEqual(t, errorReasons[0], tt.want.Reason())
		})
	}
}

func TestParseAllocatesNothing(t *testing.T) {
	good := ipv4(flow.ProtocolTCP, tcp(header.TCPFlagAck))
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = Parse(good) }))
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = Parse(good[:30]) }))
}

func FuzzParse(f *testing.F) {
	f.Add(ipv4(flow.ProtocolTCP, tcp(header.TCPFlagSyn)))
	f.Add(ipv4(flow.ProtocolUDP, udp(4)))
	f.Add(ipv6(flow.ProtocolTCP, tcp(header.TCPFlagAck)))
	f.Add(ipv6(flow.ProtocolUDP, udp(4)))
	f.Fuzz(func(t *testing.T, b []byte) {
		info, err := Parse(b)
		if err != nil {
			require.IsType(t, ErrVersion, err)
			return
		}
		require.LessOrEqual(t, info.Length, len(b))
		require.NotZero(t, info.Key.Source.Port())
		require.NotZero(t, info.Key.Destination.Port())
		require.Equal(t, info.Key.Source.Addr().Is4(), info.Key.Destination.Addr().Is4())
		again, err := Parse(b[:info.Length])
		require.NoError(t, err, "padding must not matter")
		require.Equal(t, info, again)
	})
}

func BenchmarkParse(b *testing.B) {
	p := ipv4(flow.ProtocolTCP, tcp(header.TCPFlagAck))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Parse(p)
	}
}
